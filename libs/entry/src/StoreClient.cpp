#include <entry/StoreClient.h>

#include <entry/SteadyTime.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Timeout of calls to the store, which normally answers within some milliseconds.
constexpr base::Duration kCallTimeout = base::milliseconds(700);
// Time that a call may take while its answer arrives. A VM with a slow link needs longer than the
// timeout for a large answer, and would read it again and again without ever having all of it.
constexpr base::Duration kMaxCallDuration = std::chrono::seconds(3);
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
  switch (result.answer.result_int()) {
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
  call("GET", wire::listPath(kind, after, reading), "", kCallTimeout, std::move(finished));
}

void StoreClient::watch(wire::Kind kind,
                        std::uint64_t revision,
                        std::chrono::milliseconds wait,
                        wire::ReadConsistency reading,
                        Finished finished)
{
  ++counts_.watches;
  call("GET",
       wire::watchPath(kind, revision, wait, reading),
       "",
       wait + kCallTimeout,
       std::move(finished));
}

void StoreClient::read(wire::Kind kind,
                       const std::string& name,
                       wire::ReadConsistency reading,
                       Finished finished)
{
  ++counts_.reads;
  call("GET", wire::objectPath(kind, name, reading), "", kCallTimeout, std::move(finished));
}

void StoreClient::write(wire::Kind kind,
                        const std::string& name,
                        std::uint64_t revision,
                        const std::string& content,
                        Finished finished)
{
  ++counts_.writes;
  const std::string path = revision == 0 ? wire::createPath(kind) : wire::objectPath(kind, name);
  call(revision == 0 ? "POST" : "PUT",
       path,
       wire::writeBody(name, revision, content),
       kCallTimeout,
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

void StoreClient::call(const std::string& method,
                       std::string path,
                       std::string body,
                       base::Duration timeout,
                       Finished finished)
{
  Call call;
  call.endpoint = store_;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout = timeout;
  call.maxDuration = std::max(timeout, kMaxCallDuration);
  const base::TimePoint sentAt = clockNow();
  calls_.call(std::move(call),
              [this, sentAt, finished = std::move(finished)](ExchangeResult result) {
                // The store belongs to no failure domain.
                bytes_.add("store", false, result.bytes);
                finished(readResult(std::move(result), sentAt));
              });
}

StoreAnswer StoreClient::readResult(ExchangeResult result, base::TimePoint sentAt)
{
  const base::TimePoint now = clockNow();
  StoreAnswer answer;
  answer.outcome = outcomeOf(result);
  answer.body = std::move(result.answer.body());
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
