#pragma once

#include <entry/IdleConnections.h>

#include <dispatch/BackendServer.h>
#include <dispatch/ColdStartShare.h>
#include <dispatch/ConnectionBackoff.h>
#include <dispatch/RequestPause.h>
#include <dispatch/RequestPermits.h>
#include <dispatch/ServerLoad.h>
#include <dispatch/TrialSchedule.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace sycamore::entry {

// Processing time assumed for a request until one has been measured.
inline constexpr base::Duration kInitialProcessingTime = base::milliseconds(100);

// This entry VM's state for one backend server: its connections, its load, its cold start and its
// trial requests. Traffic thread only.
class ServerPool
{
public:
  // `quota` bounds the memory for answers. `phase` in [0, 1) differs between entry VMs, so that
  // they don't act at the same time.
  ServerPool(asio::io_context& context,
             const dispatch::BackendServer& server,
             const BufferQuota& quota,
             double phase,
             const base::VmId& vm);

  const dispatch::BackendServer& server() const { return server_; }
  void update(const dispatch::BackendServer& server) { server_ = server; }

  dispatch::ServerLoad& load() { return load_; }
  dispatch::ColdStartShare& coldStart() { return coldStart_; }
  dispatch::TrialSchedule& trialSchedule() { return trialSchedule_; }
  dispatch::RequestPause& pause() { return pause_; }
  dispatch::RequestPermits& permits() { return permits_; }

  // Returns how closely the server and this VM belong together, see dispatch::serverAffinity().
  std::uint64_t affinity() const { return affinity_; }

  // Requests in flight as last reported to the other entry VMs.
  unsigned reportedInFlight() const { return reportedInFlight_; }
  void setReportedInFlight(unsigned count) { reportedInFlight_ = count; }

  // The server has said that it leaves. This holds until the pool ends with this life of the
  // server, also if the server's entry says otherwise.
  bool isLeaving() const { return isLeaving_; }
  void setLeaving() { isLeaving_ = true; }

  dispatch::ConnectionBackoff& connectionBackoff() { return connectionBackoff_; }
  // Returns whether there is an idle connection or one may be opened, as far as the server takes
  // any.
  bool hasConnection(base::TimePoint now) const
  {
    return connectionBackoff_.mayOpen(now) || hasIdleConnection(now);
  }

  // Returns an idle connection or a new one; null if `limit` connections are in use or the server
  // takes no new ones.
  std::shared_ptr<ServerConnection> acquire(std::size_t limit, base::TimePoint now);

  bool hasIdleConnection(base::TimePoint now) const { return idleConnections_.hasReusable(now); }
  std::size_t connectionsInUse() const { return inUse_; }

  // Returns a connection to the pool after its exchange.
  void release(const std::shared_ptr<ServerConnection>& connection, bool reusable);

  // Closes all idle connections, because the server has changed.
  void closeIdle();

  // Closes the idle connections that may have gone silent with that of a request which was sent at
  // this time and not answered. Returns their number.
  std::size_t closeUnconfirmedSince(base::TimePoint sentAt);

private:
  asio::io_context& context_;
  dispatch::BackendServer server_;
  std::uint64_t affinity_;
  BufferQuota quota_;
  dispatch::ServerLoad load_;
  dispatch::ColdStartShare coldStart_;
  dispatch::TrialSchedule trialSchedule_;
  dispatch::RequestPause pause_;
  dispatch::RequestPermits permits_;
  IdleConnections idleConnections_;
  dispatch::ConnectionBackoff connectionBackoff_;
  std::size_t inUse_ = 0;
  unsigned reportedInFlight_ = 0;
  bool isLeaving_ = false;
};

// Returns the address of a server; the port is 0 if the address can't be parsed.
dispatch::Endpoint endpointOf(const dispatch::BackendServer& server);

} // namespace sycamore::entry
