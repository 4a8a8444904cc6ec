#include <entry/RequestHandler.h>

#include <entry/AnswerCheck.h>
#include <entry/RequestLog.h>
#include <entry/SteadyTime.h>

// The part of RequestHandler that ends a request: the router's own answers, their counts and the
// log line.
namespace sycamore::entry {

void RequestHandler::refuse(std::string_view reason, base::Duration retryAfter)
{
  deliver(makeAnswer(503, metadata_.requestId, reason, retryAfter), reason);
}

void RequestHandler::refuseForRoom(std::string_view reason, base::Duration retryAfter)
{
  ++demand().refused;
  refuse(reason, retryAfter);
}

void RequestHandler::refuseUnlessRun(std::string_view reason, base::Duration retryAfter)
{
  if (mayHaveRun_) {
    fail(502, "a server may have run the request, and sending it again did not succeed");
  } else {
    refuse(reason, retryAfter);
  }
}

dispatch::PriorityDemand& RequestHandler::demand()
{
  return dispatcher_.report_.demand[service_][dispatch::priorityLevel(priority())];
}

void RequestHandler::deliver(CallerAnswer answer, std::string_view reason)
{
  if (!deliver_) {
    return;
  }
  const base::TimePoint now = clockNow();
  const FinishedRequest outcome = finished(answer.status, reason, now);
  logFinishedRequest(dispatcher_.log_, outcome, now);
  recordFinishedRequest(dispatcher_.metrics_, outcome);
  permitWait_.reset();
  deadlineTimer_.cancel();
  resendTimer_.cancel();
  const Dispatcher::Deliver deliver = std::move(deliver_);
  deliver_ = nullptr;
  deliver(std::move(answer));
}

FinishedRequest RequestHandler::finished(unsigned status,
                                         std::string_view reason,
                                         base::TimePoint now) const
{
  FinishedRequest finished;
  finished.metadata = &metadata_;
  finished.digest = digest_;
  finished.status = status;
  finished.reason = reason;
  finished.elapsed = now - beganAt_;
  finished.sends = sends_;
  finished.mayHaveRun = mayHaveRun_;
  finished.isServersAnswer = answeredByServer_;
  finished.idleClosed = idleClosed_;
  finished.server = decidingServer_ ? decidingServer_ : pool_;
  finished.workspace = workspaceAdmission_ ? &workspaceAdmission_->workspace() : nullptr;
  if (route_ != nullptr) {
    finished.route = route_;
    finished.service = service_;
    finished.timeLeft = timeLeft(now);
    finished.configurationVersion = configuration_->version;
  }
  const auto& ownership = dispatcher_.view_->ownership;
  finished.ownershipEpoch = ownership ? ownership->epoch : 0;
  return finished;
}

} // namespace sycamore::entry
