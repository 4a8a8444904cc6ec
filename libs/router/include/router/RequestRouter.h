#pragma once

#include <base/Ids.h>
#include <requests/Backoff.h>
#include <router/Answer.h>
#include <router/DisconnectMonitor.h>
#include <router/DispatcherTable.h>
#include <router/IncomingRequest.h>
#include <router/MethodBudgets.h>
#include <router/PickerTable.h>
#include <router/QuarantineRegistry.h>
#include <router/RequestRecord.h>
#include <router/RoutingPublisher.h>
#include <transport/HttpClientPool.h>
#include <transport/HttpServer.h>

#include <atomic>
#include <optional>

namespace sycamore::router {

// Dependencies of a router. All of them outlive it.
struct RouterContext
{
  base::VmId self;
  const RoutingPublisher& routing;
  DispatcherTable& dispatchers;
  QuarantineRegistry& quarantine;
  transport::HttpClientPool& clients;
  RequestObserver observer;
  // Called on traffic threads for each request with a key, to detect hot keys.
  std::function<void(const base::ServiceId&, const base::Key&)> keyObserver;
};

// Result of one attempt.
struct AttemptResult
{
  requests::Classification verdict;
  // Wait before the next attempt that the server or the lease holder suggested.
  std::optional<base::Duration> retryAfter;
  // Set if the request is a resend that has run before: the answer from the deduplication table.
  std::optional<requests::StoredAnswer> replayedAnswer;
};

// Routes callers' requests to the server that may run them, through the entry VM that holds the
// server's lease, and reports the outcome to the caller. Retries are decided at the entry VM that
// the caller reached; the lease holder makes one attempt per forwarded request. Thread-safe; each
// request is handled on the calling thread.
class RequestRouter
{
public:
  RequestRouter(RouterContext context, RequestLimits limits);

  // Handles a caller's request under "/v1/".
  void handleCaller(transport::ServerRequest& request, transport::ServerResponse& response);

  // Handles a request that another entry VM forwarded, under "/peer/dispatch/v1/".
  void handleForwarded(transport::ServerRequest& request, transport::ServerResponse& response);

private:
  class CallerRequestHandler;

  AttemptResult attempt(IncomingRequest& request,
                        const RouteTarget& target,
                        const configuration::MethodConfig& method,
                        Answer& answer);
  AttemptResult forward(IncomingRequest& request, const RouteTarget& target, Answer& answer);
  AttemptResult dispatch(IncomingRequest& request,
                         ServerDispatcher& dispatcher,
                         const std::optional<base::ShardId>& shard,
                         const configuration::MethodConfig& method,
                         Answer& answer);
  AttemptResult dispatchNonIdempotent(IncomingRequest& request,
                                      ServerDispatcher& dispatcher,
                                      const std::optional<base::ShardId>& shard,
                                      Answer& answer);
  AttemptResult admitAndSend(IncomingRequest& request,
                             ServerDispatcher& dispatcher,
                             const std::optional<base::ShardId>& shard,
                             Answer& answer);
  AttemptResult send(IncomingRequest& request,
                     ServerDispatcher& dispatcher,
                     const std::optional<base::ShardId>& shard,
                     const Admission& admission,
                     const requests::WorkIdentity& identity,
                     Answer& answer);
  transport::ExchangeResult exchange(IncomingRequest& request,
                                     const std::string& address,
                                     transport::ClientRequest& out,
                                     const transport::ResponseReceiver& receiver);
  void cancelAtServer(const IncomingRequest& request,
                      ServerDispatcher& dispatcher,
                      admission::WorkId work);

  RouterContext context_;
  RequestParser parser_;
  requests::Backoff backoff_;
  MethodBudgets budgets_;
  PickerTable pickers_;
  DisconnectMonitor monitor_;
  std::atomic<std::uint64_t> nextSendId_{ 1 };
};

} // namespace sycamore::router
