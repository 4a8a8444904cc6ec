#include <telemetry/ServiceBurn.h>

#include <algorithm>

namespace sycamore::telemetry {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kFineWidth = std::chrono::seconds(10);
constexpr base::Duration kLatencyWidth = std::chrono::minutes(1);
constexpr base::Duration kHourWidth = std::chrono::hours(1);
constexpr base::Duration kLongestGap = std::chrono::seconds(10);
// Callers time out up to a few seconds after their key began to move.
constexpr base::Duration kMoveEffect = std::chrono::seconds(5);

constexpr std::size_t bucketsIn(base::Duration length, base::Duration width)
{
  return static_cast<std::size_t>(length / width);
}

constexpr std::size_t kFineBuckets = bucketsIn(kBurnWindows.back().length, kFineWidth);
constexpr std::size_t kLatencyBuckets = bucketsIn(kBurnStep * kBurnSteps, kLatencyWidth);
constexpr std::size_t kHourBuckets = bucketsIn(kBurnPeriod, kHourWidth);

} // namespace

ServiceBurn::ServiceBurn(BurnObjective objective, base::TimePoint now)
  : objective_(objective)
  , start_(now)
  , fine_(kFineWidth, kFineBuckets)
  , hours_(kHourWidth, kHourBuckets)
  , latencies_(kLatencyWidth, kLatencyBuckets)
{
}

void ServiceBurn::add(const BurnCounts& counts, base::TimePoint now)
{
  if (BurnCounts* bucket = fine_.at(now)) {
    *bucket += counts;
  }
  if (BurnCounts* bucket = hours_.at(now)) {
    *bucket += counts;
  }
}

bool ServiceBurn::isMoving(base::TimePoint now) const
{
  return ownerlessSince_ || (lastMove_ && now - *lastMove_ <= kMoveEffect);
}

void ServiceBurn::recordAnswer(const RequestSample& sample, base::TimePoint now)
{
  const BurnVerdict verdict = judgeAnswer(sample, objective_.latency, isMoving(now));
  if (verdict.kind == BurnVerdict::Kind::Neither) {
    return;
  }
  BurnCounts counts;
  if (verdict.kind == BurnVerdict::Kind::Good) {
    counts.good = 1;
  } else {
    counts.bad.at(static_cast<std::size_t>(verdict.cause)) = 1;
  }
  add(counts, now);
  if (sample.outcome == requests::Outcome::Ran) {
    if (auto* latencies = latencies_.at(now)) {
      if (!*latencies) {
        latencies->emplace();
      }
      (*latencies)->record(sample.latency);
    }
  }
}

void ServiceBurn::recordLoad(const base::ServerId& server,
                             std::uint64_t requests,
                             base::TimePoint now)
{
  loads_.record(server, requests, now);
}

void ServiceBurn::retainServers(const std::vector<base::ServerId>& servers, base::TimePoint now)
{
  loads_.retain(servers, now);
  for (const base::ServerId& server : servers) {
    loads_.record(server, 0, now);
  }
}

void ServiceBurn::recordMoves(std::uint64_t shards, base::TimePoint now)
{
  if (shards == 0) {
    return;
  }
  BurnCounts counts;
  counts.moves = shards;
  add(counts, now);
  lastMove_ = now;
}

void ServiceBurn::observeOwnerless(std::uint64_t shards, base::TimePoint now)
{
  if (ownerlessSince_) {
    const base::Duration gap =
      std::clamp<base::Duration>(now - *ownerlessSince_, base::Duration(0), kLongestGap);
    BurnCounts counts;
    const auto whole = std::chrono::duration_cast<milliseconds>(gap);
    counts.unavailableMs = static_cast<std::uint64_t>(whole.count());
    add(counts, now);
    lastMove_ = now;
  }
  ownerlessSince_ = shards > 0 ? std::optional(now) : std::nullopt;
}

ServiceForm ServiceBurn::form(base::TimePoint now) const
{
  ServiceForm form;
  form.goodRatio = objective_.goodRatio;
  form.latencyObjective = objective_.latency;
  form.observed = std::clamp<base::Duration>(now - start_, base::Duration(0), kBurnPeriod);
  form.period = hours_.sum(now, 0, kHourBuckets);
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    form.windows.at(i) = fine_.sum(now, 0, bucketsIn(kBurnWindows.at(i).length, kFineWidth));
  }
  constexpr std::size_t kFineStep = bucketsIn(kBurnStep, kFineWidth);
  constexpr std::size_t kLatencyStep = bucketsIn(kBurnStep, kLatencyWidth);
  for (std::size_t i = 0; i < kBurnSteps; ++i) {
    form.steps[i] = fine_.sum(now, i * kFineStep, (i + 1) * kFineStep);
    latencies_.visit(now, i * kLatencyStep, (i + 1) * kLatencyStep, [&](const auto& latencies) {
      if (latencies) {
        form.latencies[i] += *latencies;
      }
    });
  }
  form.loads = loads_.table(now);
  return form;
}

} // namespace sycamore::telemetry
