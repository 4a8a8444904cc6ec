#pragma once

#include <entry/Dispatcher.h>
#include <entry/RequestLog.h>
#include <entry/WorkspaceAdmission.h>

namespace sycamore::entry {

// Handles one request of a caller: chooses a server, sends the request, sends it again where it is
// idempotent or hasn't run, and delivers exactly one answer. Traffic thread only.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
  RequestHandler(Dispatcher& dispatcher,
                 Request request,
                 base::TimePoint beganAt,
                 Dispatcher::Deliver deliver);

  void start();

  // Stops the work on the request because the caller has disconnected.
  void cancel();

  // Gives the request its final answer now, because the process ends.
  void expire() { onTimeout("no answer before this entry VM stops"); }

  // Returns whether the answer has been delivered, or the request was cancelled.
  bool isDone() const { return !deliver_; }

  // Returns whether the request may run more than once. Without a route, it doesn't run at all and
  // counts as at most once.
  dispatch::Repeatability repeatability() const
  {
    return route_ == nullptr ? dispatch::Repeatability::AtMostOnce : route_->repeatability;
  }

  const dispatch::Route& route() const { return *route_; }
  const base::ServiceId& service() const { return service_; }
  // Returns the priority of the request's workspace or, without one, of its route.
  unsigned priority() const
  {
    return workspaceAdmission_
             ? workspaceAdmission_->workspace().priority.value_or(route_->priority)
             : route_->priority;
  }
  const wire::RequestMetadata& metadata() const { return metadata_; }
  bool tried(const base::ServerId& server) const { return tried_.contains(server); }

  // Return the time left until the target latency and until the deadline of the answer.
  base::Duration targetLeft(base::TimePoint now) const
  {
    return beganAt_ + route_->targetLatency - now;
  }
  base::Duration timeLeft(base::TimePoint now) const { return answerDeadline_ - now; }
  // Returns the time by which the caller gets an answer in any case.
  base::TimePoint answerDeadline() const { return answerDeadline_; }

private:
  void send();
  // Returns whether the decision is to send the request now; otherwise refuses it, or decides again
  // later.
  bool isAllowed(const AccessDecision& decision);
  // Waits for a permit of the server that the choice names. Returns whether there is time for it.
  bool tryAwaitPermit(const Dispatcher::Choice& choice, base::TimePoint now);
  void onStopping();
  void sendTo(const std::shared_ptr<ServerPool>& pool, base::TimePoint now);
  // Sets whether the request has used what it took of its workspace's quota.
  void setQuotaUsed(bool isUsed)
  {
    if (workspaceAdmission_) {
      workspaceAdmission_->setMayHaveRun(isUsed);
    }
  }
  void onResult(ExchangeResult result);
  void onAnswered(ExchangeResult result);
  void onNotRun(const ServerAnswer& answer);
  void onNotSent(bool wasReused);
  void onOutcomeUnknown(const char* reason);
  void endExchange(bool reusable)
  {
    pool_->release(connection_, reusable);
    connection_.reset();
  }
  bool mayResend(base::TimePoint now) const
  {
    return sends_ < route_->attempts && now < answerDeadline_;
  }
  bool tryWithdrawRetry(base::TimePoint now);
  void sendAfter(base::Duration delay);
  // Ends the request without an answer of a server.
  void onTimeout(std::string_view reason);
  // Ends the request with an error answer of the router.
  void fail(unsigned status, std::string_view reason)
  {
    deliver(makeAnswer(status, metadata_.requestId, reason), reason);
  }
  void refuse(std::string_view reason, base::Duration retryAfter);
  // Refuses a request that the servers have no room for.
  void refuseForRoom(std::string_view reason, base::Duration retryAfter);
  // Returns the counts of requests with this one's service and priority.
  dispatch::PriorityDemand& demand();
  // Refuses the request if no server can have run it; otherwise it fails.
  void refuseUnlessRun(std::string_view reason, base::Duration retryAfter);
  void deliver(CallerAnswer answer, std::string_view reason);
  FinishedRequest finished(unsigned status, std::string_view reason, base::TimePoint now) const;

  Dispatcher& dispatcher_;
  Request request_;
  wire::RequestMetadata metadata_;
  Dispatcher::Deliver deliver_;
  base::TimePoint beganAt_;
  base::TimePoint answerDeadline_;
  std::shared_ptr<const dispatch::Configuration> configuration_;
  const dispatch::Route* route_ = nullptr;
  // Unset if the request belongs to no workspace.
  std::optional<WorkspaceAdmission> workspaceAdmission_;
  base::ServiceId service_;
  std::uint64_t digest_ = 0;
  asio::steady_timer deadlineTimer_;
  asio::steady_timer resendTimer_;
  // The last server that the request was sent to.
  std::shared_ptr<ServerPool> pool_;
  // The server whose load or state was the reason why the last choice found no server.
  std::shared_ptr<ServerPool> decidingServer_;
  // Whether the delivered answer is a server's.
  bool answeredByServer_ = false;
  std::shared_ptr<ServerConnection> connection_;
  base::TimePoint sentAt_;
  // Time until which the answer to a question for a permit is awaited in any case; unset before the
  // first.
  base::TimePoint permitAnswerDueAt_{};
  // Set while the request waits for a permit.
  std::optional<dispatch::PermitWait> permitWait_;
  // Number of times that the request was sent to a server, including those that the server refused.
  unsigned sends_ = 0;
  // Number of idle connections that were closed because a send went unanswered.
  std::size_t idleClosed_ = 0;
  unsigned failedConnections_ = 0;
  // Whether a server may have run the request.
  bool mayHaveRun_ = false;
  std::set<base::ServerId> tried_;
};

} // namespace sycamore::entry
