#include <entry/ServerPool.h>

#include <entry/SteadyTime.h>

#include <dispatch/ServerSampling.h>

#include <charconv>

namespace sycamore::entry {

dispatch::Endpoint endpointOf(const dispatch::BackendServer& server)
{
  const std::size_t colon = server.address.rfind(':');
  dispatch::Endpoint endpoint{ server.address.substr(0, colon), 0 };
  if (colon != std::string::npos) {
    const char* const end = server.address.data() + server.address.size();
    std::from_chars(server.address.data() + colon + 1, end, endpoint.port);
  }
  return endpoint;
}

ServerPool::ServerPool(asio::io_context& context,
                       const dispatch::BackendServer& server,
                       const BufferQuota& quota,
                       double phase,
                       const base::VmId& vm)
  : context_(context)
  , server_(server)
  , affinity_(dispatch::serverAffinity(vm, server.id))
  , quota_(quota)
  , load_(server.slots, kInitialProcessingTime)
  , coldStart_(phase)
  , trialSchedule_(phase, clockNow())
  , permits_(phase)
{
}

std::shared_ptr<ServerConnection> ServerPool::acquire(std::size_t limit, base::TimePoint now)
{
  if (auto connection = idleConnections_.take(now)) {
    ++inUse_;
    return connection;
  }
  if (inUse_ >= limit || !connectionBackoff_.mayOpen(now)) {
    return nullptr;
  }
  ++inUse_;
  auto connection = std::make_shared<ServerConnection>(context_, endpointOf(server_), quota_);
  connection->awaitEarlyReset();
  return connection;
}

void ServerPool::release(const std::shared_ptr<ServerConnection>& connection, bool reusable)
{
  inUse_ -= inUse_ > 0 ? 1 : 0;
  if (reusable && connection->open()) {
    idleConnections_.put(connection);
  }
}

void ServerPool::closeIdle()
{
  idleConnections_.closeAll();
}

std::size_t ServerPool::closeUnconfirmedSince(base::TimePoint sentAt)
{
  return idleConnections_.closeUnconfirmedSince(sentAt);
}

} // namespace sycamore::entry
