#pragma once

#include <entry/EventLog.h>
#include <entry/HttpText.h>
#include <entry/ServerPool.h>
#include <entry/TrafficMetrics.h>

#include <dispatch/AdmissionRule.h>
#include <dispatch/CrashSuspects.h>
#include <dispatch/EntrySettings.h>
#include <dispatch/KeyRates.h>
#include <dispatch/PriorityThrottle.h>
#include <dispatch/RouteTable.h>
#include <dispatch/RoutingView.h>
#include <requests/RetryBudget.h>
#include <wire/ServerProtocol.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace sycamore::entry {

// What traffic tells the control thread from time to time.
struct TrafficReport
{
  std::map<base::ServiceId, dispatch::KeyCounts> keys;
  // Work done by the servers of keyed services.
  std::map<base::ServerId, dispatch::WorkSample> work;
};

// Counters of the requests that ended, by what callers got.
struct DispatchCounts
{
  std::uint64_t received = 0;
  std::uint64_t passedOn = 0;
  std::uint64_t refusedNoRoute = 0;
  std::uint64_t refusedNoOwner = 0;
  std::uint64_t refusedNoRoom = 0;
  std::uint64_t refusedByServer = 0;
  std::uint64_t refusedUnreachable = 0;
  std::uint64_t failedUnknown = 0;
  std::uint64_t failedTimeout = 0;
  std::uint64_t callerLeft = 0;
  std::uint64_t retries = 0;
};

class RequestRun;

// Routes requests to backend servers. Traffic thread only.
class Dispatcher
{
public:
  using Deliver = std::function<void(CallerAnswer)>;
  // Told of each server connection that broke under a request, for the other entry VMs.
  using ConnectionBreakListener =
    std::function<void(std::uint64_t digest, const std::string& serverIncarnation)>;

  Dispatcher(asio::io_context& context,
             const dispatch::EntrySettings& settings,
             EventLog& log,
             std::uint64_t seed);

  void publish(std::shared_ptr<const dispatch::RoutingView> view);
  void setConnectionBreakListener(ConnectionBreakListener listener)
  {
    connectionBreakListener_ = std::move(listener);
  }
  void onRemoteConnectionBreak(std::uint64_t digest, const std::string& serverIncarnation);

  const dispatch::CallerLimits& callerLimits() const;

  // Handles a request that began to arrive at `began`. `deliver` is called exactly once unless the
  // run is cancelled.
  std::shared_ptr<RequestRun> handle(Request request, base::TimePoint began, Deliver deliver);

  // What has been counted since the last call.
  TrafficReport takeReport();
  const DispatchCounts& counts() const { return counts_; }
  const TrafficMetrics& metrics() const { return metrics_; }

private:
  friend class RequestRun;

  // Where a request can be sent now.
  struct Choice
  {
    std::shared_ptr<ServerPool> pool;
    // Without a pool: why not, and when the caller may return.
    const char* reason = "";
    base::Duration returnAfter{};
    std::uint64_t* counter = nullptr;
    // The server whose load or state decided that, if there is one.
    std::shared_ptr<ServerPool> decidedBy = nullptr;
  };

  Choice chooseOwner(const RequestRun& run, base::TimePoint now);
  Choice chooseAny(const RequestRun& run, base::TimePoint now);
  // Refuses a request for lack of room at a server, see AdmissionRule.
  std::optional<base::Duration> refuse(const RequestRun& run,
                                       base::Duration expected,
                                       base::TimePoint now);
  Choice refusal(const char* reason,
                 base::Duration excess,
                 std::uint64_t& counter,
                 std::shared_ptr<ServerPool> decidedBy = nullptr);
  bool isKeyed(const base::ServiceId& service) const;
  bool canTake(const dispatch::BackendServer& server) const;
  bool takeColdShare(ServerPool& pool, base::TimePoint now);
  std::shared_ptr<ServerPool> poolOf(const base::ServerId& id);
  std::size_t connectionLimit(const ServerPool& pool) const;
  requests::RetryBudget& budgetOf(const base::ServiceId& service);
  double random();

  asio::io_context& context_;
  dispatch::EntrySettings settings_;
  EventLog& log_;
  std::shared_ptr<const dispatch::RoutingView> view_;
  std::unique_ptr<dispatch::RouteTable> routes_;
  // Pools of known servers, and those of each service.
  std::map<base::ServerId, std::shared_ptr<ServerPool>> pools_;
  std::map<base::ServiceId, std::vector<std::shared_ptr<ServerPool>>> byService_;
  std::map<base::ServiceId, requests::RetryBudget> budgets_;
  dispatch::AdmissionRule admission_;
  std::map<base::ServiceId, dispatch::PriorityThrottle> urgency_;
  dispatch::CrashSuspects suspects_;
  ConnectionBreakListener connectionBreakListener_;
  TrafficReport report_;
  DispatchCounts counts_;
  TrafficMetrics metrics_;
  std::mt19937_64 random_;
};

} // namespace sycamore::entry
