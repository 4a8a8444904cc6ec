#include <entry/StoreClient.h>

#include <entry/SteadyTime.h>

#include <dispatch/StoreRevision.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Timeout of calls to the store, which normally answers within some milliseconds.
constexpr base::Duration kCallTimeout = base::milliseconds(700);
// Time that a call may take while its answer arrives. A VM with a slow link needs longer than the
// timeout for a large answer, and would read it again and again without ever having all of it.
constexpr base::Duration kMaxCallDuration = std::chrono::seconds(3);
// Time after the store came back in which reads have to return the current state. Answers from a
// lagging copy are at most some seconds old.
constexpr base::Duration kCurrentReadTime = std::chrono::seconds(15);
// Interval between two calls while the store doesn't answer.
constexpr base::Duration kProbeInterval = base::milliseconds(1000);

StoreOutcome outcomeOf(const ExchangeResult& result)
{
  if (result.end == ExchangeEnd::NotSent) {
    return StoreOutcome::Refused;
  }
  if (result.end != ExchangeEnd::Answered) {
    return StoreOutcome::Unknown;
  }
  switch (result.answer.status) {
    case 200:
    case 201:
      return StoreOutcome::Done;
    case 404:
      return StoreOutcome::Missing;
    case 409:
      return StoreOutcome::Conflict;
    case 410:
      return StoreOutcome::HistoryGone;
    case 429:
    case 503:
      return StoreOutcome::Refused;
    default:
      return StoreOutcome::Unknown;
  }
}

} // namespace

StoreClient::StoreClient(CallClient& calls, const dispatch::Endpoint& store, ByteCounts& bytes)
  : calls_(calls)
  , store_(store)
  , bytes_(bytes)
{
}

void StoreClient::list(wire::Kind kind,
                       const std::string& after,
                       wire::ReadConsistency reading,
                       Finished finished)
{
  ++counts_.lists;
  reading = allowed(reading);
  call({ "GET", wire::listPath(kind, after, reading), "", kCallTimeout, 0, reading },
       std::move(finished));
}

void StoreClient::watch(wire::Kind kind,
                        std::uint64_t revision,
                        std::chrono::milliseconds wait,
                        wire::ReadConsistency reading,
                        Finished finished)
{
  ++counts_.watches;
  reading = allowed(reading);
  call({ "GET",
         wire::watchPath(kind, revision, wait, reading),
         "",
         wait + kCallTimeout,
         revision,
         reading },
       std::move(finished));
}

void StoreClient::read(wire::Kind kind,
                       const std::string& name,
                       wire::ReadConsistency reading,
                       Finished finished)
{
  ++counts_.reads;
  reading = allowed(reading);
  call({ "GET", wire::objectPath(kind, name, reading), "", kCallTimeout, 0, reading },
       std::move(finished));
}

void StoreClient::write(wire::Kind kind,
                        const std::string& name,
                        std::uint64_t revision,
                        const std::string& content,
                        Finished finished)
{
  ++counts_.writes;
  const std::string path = revision == 0 ? wire::createPath(kind) : wire::objectPath(kind, name);
  call({ revision == 0 ? "POST" : "PUT",
         path,
         wire::writeBody(name, revision, content),
         kCallTimeout,
         revision },
       std::move(finished));
}

bool StoreClient::mayCall(base::TimePoint now)
{
  if (!reachable_ && now < nextProbeAt_) {
    return false;
  }
  nextProbeAt_ = now + kProbeInterval;
  return true;
}

void StoreClient::onEra(std::uint64_t era)
{
  if (era_ && era <= *era_) {
    return;
  }
  const bool isFirst = !era_.has_value();
  era_ = era;
  if (isFirst) {
    return;
  }
  readCurrentUntil_ = clockNow() + kCurrentReadTime;
  if (restoredListener_) {
    restoredListener_(era);
  }
}

wire::ReadConsistency StoreClient::allowed(wire::ReadConsistency reading) const
{
  return clockNow() < readCurrentUntil_ ? wire::ReadConsistency::Current : reading;
}

StoreOutcome StoreClient::outcomeOfOutdated(const StoreCall& call)
{
  return call.method == "GET" ? StoreOutcome::HistoryGone : StoreOutcome::Refused;
}

void StoreClient::call(StoreCall storeCall, Finished finished)
{
  if (storeCall.revision != 0 && dispatch::eraOf(storeCall.revision) < era()) {
    calls_.post([outcome = outcomeOfOutdated(storeCall), finished = std::move(finished)] {
      StoreAnswer answer;
      answer.outcome = outcome;
      finished(std::move(answer));
    });
    return;
  }
  Call call;
  call.endpoint = store_;
  call.method = storeCall.method;
  call.path = storeCall.path;
  call.body = std::exchange(storeCall.body, {});
  call.timeout = storeCall.timeout;
  call.maxDuration = std::max(call.timeout, kMaxCallDuration);
  const base::TimePoint sentAt = clockNow();
  calls_.call(std::move(call),
              [this, sentAt, storeCall = std::move(storeCall), finished = std::move(finished)](
                ExchangeResult result) {
                // The store belongs to no failure domain.
                bytes_.add("store", false, result.bytes);
                const bool isAnswered = result.end == ExchangeEnd::Answered;
                const std::optional<std::uint64_t> named = wire::readEra(result.answer.fields);
                StoreAnswer answer = readResult(std::move(result), sentAt);
                answer.era = era();
                if (isAnswered && named.has_value()) {
                  answer.era = *named;
                  answer.outcome = outcomeInEra(storeCall, answer.outcome, answer.era);
                }
                finished(std::move(answer));
              });
}

StoreOutcome StoreClient::outcomeInEra(const StoreCall& call,
                                       StoreOutcome outcome,
                                       std::uint64_t era)
{
  const bool isOutdated = era_ && era < *era_;
  const bool isFirstOfEra = era_ && era > *era_;
  onEra(era);
  // The store has come back since, or a copy that lags may show the state before it did.
  if (isOutdated || (isFirstOfEra && call.reading == wire::ReadConsistency::StaleAllowed)) {
    return StoreOutcome::Unknown;
  }
  // The revision on which the call was based belongs to another state by now. A write may have
  // replaced that one.
  if (call.revision != 0 && dispatch::eraOf(call.revision) < era) {
    return call.method == "GET" ? StoreOutcome::HistoryGone : StoreOutcome::Unknown;
  }
  return outcome;
}

StoreAnswer StoreClient::readResult(ExchangeResult result, base::TimePoint sentAt)
{
  const base::TimePoint now = clockNow();
  StoreAnswer answer;
  answer.outcome = outcomeOf(result);
  answer.body = std::move(result.answer.body);
  answer.timedOut = result.timedOut;
  answer.idleClosed = result.idleClosed;
  answer.elapsed = now - sentAt;
  answer.connectionAge = result.connectionAge;
  lastAnswerAt_ = result.end == ExchangeEnd::Answered ? now : lastAnswerAt_;
  const bool succeeded =
    answer.outcome != StoreOutcome::Refused && answer.outcome != StoreOutcome::Unknown;
  const bool onlyConnectionFailed = answer.timedOut && lastAnswerAt_ > sentAt;
  reachable_ = succeeded || (reachable_ && onlyConnectionFailed);
  counts_.failed += succeeded ? 0 : 1;
  return answer;
}

} // namespace sycamore::entry
