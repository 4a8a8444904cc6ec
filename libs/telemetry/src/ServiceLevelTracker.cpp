#include <telemetry/ServiceLevelTracker.h>

#include <algorithm>

namespace sycamore::telemetry {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kFineBucketWidth = std::chrono::seconds(10);
constexpr base::Duration kLatencyBucketWidth = std::chrono::minutes(1);
constexpr base::Duration kHourBucketWidth = std::chrono::hours(1);
constexpr base::Duration kMaxObservationGap = std::chrono::seconds(10);
// Requests for a key that moves can time out until a few seconds after the move began.
constexpr base::Duration kMoveTimeoutWindow = std::chrono::seconds(5);

constexpr std::size_t bucketsIn(base::Duration length, base::Duration width)
{
  return static_cast<std::size_t>(length / width);
}

constexpr std::size_t kFineBuckets = bucketsIn(kBurnRateWindows.back().length, kFineBucketWidth);
constexpr std::size_t kLatencyBuckets =
  bucketsIn(kHistoryStep * kHistorySteps, kLatencyBucketWidth);
constexpr std::size_t kHourBuckets = bucketsIn(kErrorBudgetPeriod, kHourBucketWidth);

} // namespace

ServiceLevelTracker::ServiceLevelTracker(ServiceLevelObjective objective, base::TimePoint now)
  : objective_(objective)
  , start_(now)
  , fineBuckets_(kFineBucketWidth, kFineBuckets)
  , hourBuckets_(kHourBucketWidth, kHourBuckets)
  , latencyBuckets_(kLatencyBucketWidth, kLatencyBuckets)
{
}

void ServiceLevelTracker::add(const ServiceLevelCounts& counts, base::TimePoint now)
{
  if (ServiceLevelCounts* bucket = fineBuckets_.bucketAt(now)) {
    *bucket += counts;
  }
  if (ServiceLevelCounts* bucket = hourBuckets_.bucketAt(now)) {
    *bucket += counts;
  }
}

bool ServiceLevelTracker::isOwnershipChanging(base::TimePoint now) const
{
  return lastOwnerlessObservation_ ||
         (lastOwnershipChange_ && now - *lastOwnershipChange_ <= kMoveTimeoutWindow);
}

void ServiceLevelTracker::recordAnswer(const RequestSample& sample, base::TimePoint now)
{
  const AnswerClassification classification =
    classifyAnswer(sample, objective_.latency, isOwnershipChanging(now));
  if (classification.kind == AnswerClassification::Kind::Excluded) {
    return;
  }
  ServiceLevelCounts counts;
  if (classification.kind == AnswerClassification::Kind::Good) {
    counts.good = 1;
  } else {
    counts.bad.at(static_cast<std::size_t>(classification.cause)) = 1;
  }
  add(counts, now);
  if (sample.outcome == requests::Outcome::Ran) {
    if (auto* latencies = latencyBuckets_.bucketAt(now)) {
      if (!*latencies) {
        latencies->emplace();
      }
      (*latencies)->record(sample.latency);
    }
  }
}

void ServiceLevelTracker::recordLoad(const base::ServerId& server,
                                     std::uint64_t requests,
                                     base::TimePoint now)
{
  loads_.record(server, requests, now);
}

void ServiceLevelTracker::retainServers(const std::vector<base::ServerId>& servers,
                                        base::TimePoint now)
{
  loads_.retain(servers, now);
  for (const base::ServerId& server : servers) {
    loads_.record(server, 0, now);
  }
}

void ServiceLevelTracker::recordMovedShards(std::uint64_t shards, base::TimePoint now)
{
  if (shards == 0) {
    return;
  }
  ServiceLevelCounts counts;
  counts.movedShards = shards;
  add(counts, now);
  lastOwnershipChange_ = now;
}

void ServiceLevelTracker::recordOwnerlessShards(std::uint64_t shards, base::TimePoint now)
{
  if (lastOwnerlessObservation_) {
    const base::Duration gap = std::clamp<base::Duration>(
      now - *lastOwnerlessObservation_, base::Duration(0), kMaxObservationGap);
    ServiceLevelCounts counts;
    const auto gapMs = std::chrono::duration_cast<milliseconds>(gap);
    counts.unavailableMs = static_cast<std::uint64_t>(gapMs.count());
    add(counts, now);
    lastOwnershipChange_ = now;
  }
  lastOwnerlessObservation_ = shards > 0 ? std::optional(now) : std::nullopt;
}

ServiceLevelSnapshot ServiceLevelTracker::snapshot(base::TimePoint now) const
{
  ServiceLevelSnapshot snapshot;
  snapshot.goodRatio = objective_.goodRatio;
  snapshot.latencyObjective = objective_.latency;
  snapshot.observedDuration =
    std::clamp<base::Duration>(now - start_, base::Duration(0), kErrorBudgetPeriod);
  snapshot.period = hourBuckets_.sum(now, 0, kHourBuckets);
  for (std::size_t i = 0; i < kBurnRateWindows.size(); ++i) {
    snapshot.windows.at(i) =
      fineBuckets_.sum(now, 0, bucketsIn(kBurnRateWindows.at(i).length, kFineBucketWidth));
  }
  constexpr std::size_t kFineBucketsPerStep = bucketsIn(kHistoryStep, kFineBucketWidth);
  constexpr std::size_t kLatencyBucketsPerStep = bucketsIn(kHistoryStep, kLatencyBucketWidth);
  for (std::size_t i = 0; i < kHistorySteps; ++i) {
    snapshot.steps[i] =
      fineBuckets_.sum(now, i * kFineBucketsPerStep, (i + 1) * kFineBucketsPerStep);
    latencyBuckets_.visit(now,
                          i * kLatencyBucketsPerStep,
                          (i + 1) * kLatencyBucketsPerStep,
                          [&](const auto& latencies) {
                            if (latencies) {
                              snapshot.latencies[i] += *latencies;
                            }
                          });
  }
  snapshot.loads = loads_.table(now);
  return snapshot;
}

} // namespace sycamore::telemetry
