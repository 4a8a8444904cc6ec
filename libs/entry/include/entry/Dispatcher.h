#pragma once

#include <entry/ByteCounts.h>
#include <entry/ConnectionCounts.h>
#include <entry/DispatchCounts.h>
#include <entry/EventLog.h>
#include <entry/HttpText.h>
#include <entry/ServerNotices.h>
#include <entry/ServerPool.h>
#include <entry/TrafficMetrics.h>
#include <entry/WorkspaceGate.h>

#include <dispatch/AdmissionRule.h>
#include <dispatch/CrashSuspects.h>
#include <dispatch/DomainOverflow.h>
#include <dispatch/EntrySettings.h>
#include <dispatch/KeyRates.h>
#include <dispatch/LeavingServers.h>
#include <dispatch/LoadAggregator.h>
#include <dispatch/PriorityThrottle.h>
#include <dispatch/RouteTable.h>
#include <dispatch/RoutingView.h>
#include <dispatch/ServerDecision.h>
#include <dispatch/ServiceDemand.h>
#include <dispatch/ShutdownPlan.h>
#include <dispatch/WorkMean.h>
#include <requests/RetryBudget.h>
#include <wire/ServerProtocol.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace sycamore::entry {

// Measurements that the traffic thread passes to the control thread at regular intervals.
struct TrafficReport
{
  dispatch::KeyReports keys;
  // Processing times measured at the servers of keyed services.
  std::map<base::ServerId, dispatch::WorkSample> work;
  // Use of all servers, for the other entry VMs of the failure domain.
  std::map<base::ServerId, dispatch::ServerUse> use;
  // Requests that arrived and were refused, for the same VMs.
  std::map<base::ServiceId, dispatch::ServiceDemand> demand;
};

class RequestHandler;

// Routes requests to backend servers. Traffic thread only.
class Dispatcher
{
public:
  using Deliver = std::function<void(CallerAnswer)>;
  // Notified of each server connection that broke while running a request, so that the other entry
  // VMs can be notified.
  using ConnectionBreakListener =
    std::function<void(std::uint64_t digest, const std::string& serverIncarnation)>;

  Dispatcher(asio::io_context& context,
             const dispatch::EntrySettings& settings,
             EventLog& log,
             std::uint64_t seed);

  void publish(std::shared_ptr<const dispatch::RoutingView> view);
  // Notified of the requests by key that the next report would contain, when keys are hot.
  void setHotKeysListener(std::function<void(dispatch::KeyReports)> listener)
  {
    hotKeysListener_ = std::move(listener);
  }

  void setConnectionBreakListener(ConnectionBreakListener listener)
  {
    connectionBreakListener_ = std::move(listener);
  }
  void setLeavingListener(ServerNotices::LeavingListener listener)
  {
    notices_.setLeavingListener(std::move(listener));
  }
  void setLimitListeners(ServerNotices::LimitListener limitListener,
                         ServerNotices::PermitListener permitListener)
  {
    notices_.setLimitListeners(std::move(limitListener), std::move(permitListener));
  }
  void onPermitGrant(const dispatch::ServerIncarnation& server, const dispatch::PermitGrant& grant);
  void setQuotaQuestionListener(WorkspaceGate::QuestionListener listener)
  {
    workspaceGate_.setQuestionListener(std::move(listener));
  }
  void onQuotaLoans(const dispatch::QuotaLoans& loans);
  void onRemoteConnectionBreak(std::uint64_t digest, const std::string& serverIncarnation);

  // The entry VMs of this failure domain have shared their use of the servers.
  void onSharedLoad(const dispatch::LoadSummary& summary);

  const dispatch::CallerLimits& callerLimits() const;

  // From now on, requests are only sent to a server as far as the plan allows.
  void beginShutdown(const dispatch::ShutdownPlan& plan) { shutdown_ = plan; }

  // Handles a request that began to arrive at `beganAt`. `deliver` is called exactly once unless
  // the returned handler is cancelled.
  std::shared_ptr<RequestHandler> handle(Request request, base::TimePoint beganAt, Deliver deliver);

  // Returns whether a request that isn't handled yet may run more than once. Without a route, it
  // counts as at most once.
  dispatch::Repeatability repeatabilityOf(const Request& request) const;

  // Returns the measurements since the last call.
  TrafficReport takeReport();
  const DispatchCounts& counts() const { return counts_; }
  const TrafficMetrics& metrics() const { return metrics_; }
  const ByteCounts& bytes() const { return bytes_; }
  const ConnectionCounts& connections() const { return connections_; }
  // Returns the share of each service's requests that other failure domains are to get, without the
  // services of which there is none.
  std::map<base::ServiceId, double> sharesSentAway() const;
  // Return the quotas of the memory for requests that callers send and for servers' answers.
  const BufferQuota& requestMemory() const { return requestMemory_; }
  const BufferQuota& answerMemory() const { return answerMemory_; }
  // Returns the quota of the memory for requests that are handled behind others of their
  // connection.
  const BufferQuota& pipelineMemory() const { return pipelineMemory_; }
  // Counts a request that was refused because requests take too much memory.
  void onRequestMemoryExhausted() { ++counts_.refusedNoMemory; }
  // Count a request that is begun before those in front of it on its connection are answered, and
  // one that waits for them for lack of room.
  void onPipelined() { ++counts_.pipelined; }
  void onPipelineFull() { ++counts_.pipelineWaits; }

private:
  friend class CandidatePools;
  friend class RequestHandler;

  struct DecisionTexts;
  static const DecisionTexts kOwnerTexts;
  static const DecisionTexts kServiceTexts;

  void countKey(const base::ServiceId& service, dispatch::KeyNumber key);

  // The server chosen for a request, or the reason why there is none.
  struct Choice
  {
    std::shared_ptr<ServerPool> pool;
    // If `pool` is null: why no server was chosen, and the delay after which the caller may retry.
    const char* reason = "";
    base::Duration retryAfter{};
    std::uint64_t* counter = nullptr;
    // The server whose load or state was the reason, if any.
    std::shared_ptr<ServerPool> decidingServer = nullptr;
    // Whether a permit may be had in time, so that the choice should be made again soon, until the
    // time at which the request would be late.
    bool awaitsPermit = false;
    base::TimePoint latestSendAt{};
  };

  void updatePools();
  void updateLimits();
  Choice chooseOwner(const RequestHandler& request, base::TimePoint now);
  Choice chooseAny(const RequestHandler& request, base::TimePoint now);
  // Returns the choice that carries out a decision among these pools.
  Choice toChoice(const dispatch::ServerDecision& decision,
                  const DecisionTexts& texts,
                  const std::vector<std::shared_ptr<ServerPool>>& pools,
                  const RequestHandler& request,
                  base::TimePoint now);
  // Returns the retry delay if the server has no room for the request, see AdmissionRule; nothing
  // if the request may be sent.
  std::optional<base::Duration> retryDelayIfRefused(const RequestHandler& request,
                                                    base::Duration expected,
                                                    base::TimePoint now);
  Choice refusal(const char* reason,
                 base::Duration excess,
                 std::uint64_t& counter,
                 std::shared_ptr<ServerPool> decidingServer = nullptr);
  // Counts the bytes and the connection of a request's exchange that has ended, and logs an answer
  // that can't be read.
  void recordExchange(ServerPool& pool,
                      const std::string& requestId,
                      const ExchangeResult& result,
                      base::TimePoint now);
  // Records the processing time of a request at one of the service's servers.
  void recordServiceWork(const base::ServiceId& service, base::Duration work, base::TimePoint now);
  // Lets servers that haven't been measured count as average ones of their service.
  void assumeServiceWork(ServerPool& pool) const;
  bool isKeyed(const base::ServiceId& service) const;
  // Returns whether the process may still wait for a server's answer to a request.
  bool canAwaitAnswer(const RequestHandler& request, ServerPool& pool, base::TimePoint now) const;
  bool acceptsRequests(const ServerPool& pool) const;
  static dispatch::PermitSeeker seekerOf(const RequestHandler& request,
                                         ServerPool& pool,
                                         base::TimePoint now);
  dispatch::PermitDecision tryTakePermit(const RequestHandler& request,
                                         ServerPool& pool,
                                         base::TimePoint now);
  // Returns the choice for a request for which there is no permit.
  Choice choiceWithoutPermit(const RequestHandler& request,
                             const std::shared_ptr<ServerPool>& pool,
                             bool awaitsPermit,
                             base::TimePoint now);
  bool tryTakeColdStartShare(ServerPool& pool, base::TimePoint now);
  std::shared_ptr<ServerPool> poolOf(const base::ServerId& id);
  std::size_t connectionLimit(const ServerPool& pool) const;
  void updateOverflow(const base::ServiceId& service,
                      const dispatch::ServiceLoad& load,
                      base::TimePoint now);
  dispatch::DomainOverflow& overflowOf(const base::ServiceId& service);
  requests::RetryBudget& retryBudgetOf(const base::ServiceId& service);
  double random();

  asio::io_context& context_;
  dispatch::EntrySettings settings_;
  EventLog& log_;
  std::shared_ptr<const dispatch::RoutingView> view_;
  std::unique_ptr<dispatch::RouteTable> routes_;
  // Pools of the registered servers, by id and by service.
  std::map<base::ServerId, std::shared_ptr<ServerPool>> pools_;
  std::map<base::ServiceId, std::vector<std::shared_ptr<ServerPool>>> poolsByService_;
  std::map<base::ServiceId, requests::RetryBudget> retryBudgets_;
  std::map<base::ServiceId, dispatch::WorkMean> serviceWork_;
  std::map<base::ServiceId, dispatch::DomainOverflow> overflows_;
  dispatch::AdmissionRule admission_;
  std::map<base::ServiceId, dispatch::PriorityThrottle> priorityThrottles_;
  dispatch::CrashSuspects suspects_;
  ConnectionBreakListener connectionBreakListener_;
  std::function<void(dispatch::KeyReports)> hotKeysListener_;
  // Time from which on the listener may be notified of hot keys again.
  base::TimePoint nextHotKeysAt_{};
  // Set once the process has been told to stop.
  std::optional<dispatch::ShutdownPlan> shutdown_;
  TrafficReport report_;
  DispatchCounts counts_;
  ServerNotices notices_;
  WorkspaceGate workspaceGate_;
  TrafficMetrics metrics_;
  ByteCounts bytes_;
  ConnectionCounts connections_;
  BufferQuota requestMemory_;
  BufferQuota answerMemory_;
  BufferQuota pipelineMemory_;
  std::mt19937_64 random_;
};

} // namespace sycamore::entry
