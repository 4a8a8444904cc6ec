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

// What a router works with. Everything outlives it.
struct RouterContext
{
  base::VmId self;
  const RoutingPublisher& routing;
  DispatcherTable& dispatchers;
  QuarantineRegistry& quarantine;
  transport::HttpClientPool& clients;
  RequestObserver observer;
  // Counts each request for a key, to find hot keys. Called on traffic threads.
  std::function<void(const base::ServiceId&, const base::Key&)> keyObserver;
};

// What one attempt came to.
struct AttemptResult
{
  requests::Classification verdict;
  // The server's hint for the next attempt.
  std::optional<base::Duration> retryAfter;
  // The resend of a request that ran, answered from the ledger.
  std::optional<requests::StoredAnswer> again;
};

// Takes callers' requests to the server that may run them, through the entry VM that holds the
// server's tenancy, and tells callers what became of their work. Retries are decided here, at the
// entry VM that the caller reached; the holder makes one attempt per forwarded request. Safe from
// all threads; each request runs on the thread that calls.
class RequestRouter
{
public:
  RequestRouter(RouterContext context, RequestLimits limits);

  // A caller's request under "/v1/".
  void handleCaller(transport::ServerRequest& request, transport::ServerResponse& response);

  // A request that another entry VM forwards, under "/peer/dispatch/v1/".
  void handleForwarded(transport::ServerRequest& request, transport::ServerResponse& response);

private:
  class CallerRun;

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
  AttemptResult dispatchOnce(IncomingRequest& request,
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
  std::atomic<std::uint64_t> nextSend_{ 1 };
};

} // namespace sycamore::router
