#pragma once

#include <router/RequestRouter.h>

#include <memory>
#include <random>

namespace sycamore::router {

// One caller's request, from its route to its answer or refusal.
class RequestRouter::CallerRun
{
public:
  CallerRun(RequestRouter& router, IncomingRequest& request, transport::ServerResponse& response);

  // Answers the request.
  void run();

private:
  // Where to go next; nothing while no server or holder is known.
  std::optional<RouteTarget> findTarget();
  // Attempts until the request has run, is refused for good, or its deadline has passed.
  AttemptResult attemptUntilSettled();
  // Whether to look for another route: the attempt only met a VM or a server that doesn't own the
  // key any more, so no server did work for it.
  bool shouldReroute(const AttemptResult& result) const;
  bool shouldRetry(const AttemptResult& result, base::TimePoint startedAt);
  // Waits, but not beyond the deadline. False when the request should end.
  bool pause(base::Duration duration) const;
  void answerAgain(const requests::StoredAnswer& stored);
  void refuse(const AttemptResult& result);
  void observe(const AttemptResult& result);

  RequestRouter& router_;
  IncomingRequest& request_;
  transport::ServerResponse& response_;
  Answer answer_;
  const base::TimePoint startedAt_;
  const configuration::ServiceConfig* service_ = nullptr;
  const configuration::MethodConfig* method_ = nullptr;
  // Keeps the configuration and routes that are in use alive.
  std::shared_ptr<const RoutingTable> table_;
  std::shared_ptr<const RoutingTable> configTable_;
  std::optional<base::ServerId> lastServer_;
  requests::Outcome outcome_ = requests::Outcome::NotRun;
  unsigned attempts_ = 0;
  // Attempts that only led to another route.
  unsigned reroutes_ = 0;
  int status_ = 0;
  std::mt19937_64 random_;
};

// Reads what is left of a request's body before an answer that needs none of it, since the sender
// may write all of it before it reads. Where that is too much or fails, the answer says that the
// connection closes, or the sender's next request would meet the close.
void discardBody(transport::ServerRequest& request, transport::ServerResponse& response);

// Sends a refusal with its outcome, reason and a hint when to come back.
void sendRefusal(transport::ServerResponse& response,
                 const base::RequestId& id,
                 const requests::Classification& verdict,
                 const std::string& message,
                 base::Duration retryAfter);

} // namespace sycamore::router
