#pragma once

#include <entry/IdleConnections.h>

#include <dispatch/BackendServer.h>
#include <dispatch/ColdStartShare.h>
#include <dispatch/ServerLoad.h>
#include <dispatch/TrialSchedule.h>

#include <memory>
#include <vector>

namespace sycamore::entry {

// One backend server as this entry VM uses it: its connections, its load and its cold start.
// Traffic thread only.
class ServerPool
{
public:
  // `phase` in [0, 1) differs between entry VMs.
  ServerPool(asio::io_context& context, const dispatch::BackendServer& server, double phase);

  const dispatch::BackendServer& server() const { return server_; }
  void update(const dispatch::BackendServer& server) { server_ = server; }

  dispatch::ServerLoad& load() { return load_; }
  dispatch::ColdStartShare& coldStart() { return coldStart_; }
  dispatch::TrialSchedule& trial() { return trial_; }

  // An idle connection, or a new one; null if there are `limit` already.
  std::shared_ptr<ServerConnection> acquire(std::size_t limit, base::TimePoint now);

  // Gives a connection back after its exchange.
  void giveBack(const std::shared_ptr<ServerConnection>& connection, bool reusable);

  // Ends idle connections, since one of them has gone silent and the others may have too.
  void dropIdle();

private:
  asio::io_context& context_;
  dispatch::BackendServer server_;
  dispatch::ServerLoad load_;
  dispatch::ColdStartShare coldStart_;
  dispatch::TrialSchedule trial_;
  IdleConnections idle_;
  std::size_t busy_ = 0;
};

// The address of a server; the port is 0 if the text isn't one.
dispatch::Endpoint endpointOf(const dispatch::BackendServer& server);

} // namespace sycamore::entry
