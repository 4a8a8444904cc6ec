#pragma once

#include <router/RequestRouter.h>

#include <memory>
#include <random>

namespace sycamore::router {

// Handles one caller's request, from its routing to its answer or refusal.
class RequestRouter::CallerRequestHandler
{
public:
  CallerRequestHandler(RequestRouter& router,
                       IncomingRequest& request,
                       transport::ServerResponse& response);

  // Routes, retries and answers the request.
  void run();

private:
  // Returns the target of the next attempt; nothing while no server or no lease holder is known.
  std::optional<RouteTarget> findTarget();
  // Makes attempts until the request has run, is finally refused, or its deadline has passed.
  AttemptResult attemptUntilSettled();
  // Returns whether to look for another route: no server did any work for the attempt, because the
  // VM or server that it reached does not own the key, is draining, could not be reached, or has no
  // free slot while another server may have one.
  bool shouldReroute(const AttemptResult& result) const;
  bool shouldRetry(const AttemptResult& result, base::TimePoint startedAt);
  // Waits. Returns false, without waiting, if the deadline would pass or the caller has
  // disconnected.
  bool pause(base::Duration duration) const;
  void replayAnswer(const requests::StoredAnswer& stored);
  void refuse(const AttemptResult& result);
  void notifyObserver(const AttemptResult& result);

  RequestRouter& router_;
  IncomingRequest& request_;
  transport::ServerResponse& response_;
  Answer answer_;
  const base::TimePoint startedAt_;
  const configuration::ServiceConfig* service_ = nullptr;
  const configuration::MethodConfig* method_ = nullptr;
  // Keep the routes and the configuration in use alive.
  std::shared_ptr<const RoutingTable> table_;
  std::shared_ptr<const RoutingTable> configTable_;
  std::optional<base::ServerId> lastServer_;
  requests::Outcome outcome_ = requests::Outcome::NotRun;
  unsigned attempts_ = 0;
  // Number of attempts that only led to another route.
  unsigned reroutes_ = 0;
  int status_ = 0;
  std::mt19937_64 random_;
};

// Reads the rest of a request's body before an answer that does not need it, since the sender may
// write all of it before it reads. If the rest is too long or cannot be read, the answer announces
// that the connection closes; otherwise the sender's next request would fail on it.
void discardBody(transport::ServerRequest& request, transport::ServerResponse& response);

// Sends a refusal with its outcome, its reason and, if that is retryable, the wait before a retry.
void sendRefusal(transport::ServerResponse& response,
                 const base::RequestId& id,
                 const requests::Classification& verdict,
                 const std::string& message,
                 base::Duration retryAfter);

} // namespace sycamore::router
