#include <entry/RequestLog.h>

#include <entry/AnswerCheck.h>

#include <chrono>

namespace sycamore::entry {

namespace {

// One of this many served requests is logged.
constexpr std::uint64_t kServedLogInterval = 256;

std::int64_t toMilliseconds(base::Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void logFinishedRequest(EventLog& log, const FinishedRequest& request, base::TimePoint now)
{
  const bool isServed =
    request.isServersAnswer ? request.status < 500 && request.status != 404 : request.status < 400;
  if (isServed && request.digest % kServedLogInterval != 0) {
    return;
  }
  nlohmann::json fields{ { "id", request.metadata->requestId },
                         { "status", request.status },
                         { "reason", request.reason },
                         { "elapsed_ms", toMilliseconds(request.elapsed) },
                         { "sends", request.sends } };
  if (request.route != nullptr) {
    fields["route"] = request.route->name;
    fields["service"] = request.service.value();
    fields["time_left_ms"] = toMilliseconds(request.timeLeft);
    fields["configuration"] = request.configurationVersion;
  }
  if (request.workspace != nullptr) {
    fields["workspace"] = request.workspace->id.value();
  }
  if (request.metadata->key) {
    fields["key"] = *request.metadata->key;
    fields["ownership_epoch"] = request.ownershipEpoch;
  }
  if (const auto& pool = request.server) {
    fields["server"] = pool->server().id.value();
    fields["expected_ms"] = toMilliseconds(pool->load().expectedLatency(now));
    fields["occupancy"] = pool->load().occupancy(now);
    fields["may_have_run"] = request.mayHaveRun;
    if (request.idleClosed > 0) {
      fields["idle_closed"] = request.idleClosed;
    }
  }
  const char* const event =
    isServed ? "request_served"
             : (promisesNotRun(request.status) ? "request_refused" : "request_failed");
  log.write(event, fields);
}

void recordFinishedRequest(TrafficMetrics& metrics, const FinishedRequest& request)
{
  if (request.route == nullptr) {
    return;
  }
  RequestOutcome outcome = RequestOutcome::Answered;
  if (!request.isServersAnswer) {
    outcome = promisesNotRun(request.status) ? RequestOutcome::Refused : RequestOutcome::Failed;
  }
  metrics.record(request.service, request.route->name, outcome, request.elapsed);
}

} // namespace sycamore::entry
