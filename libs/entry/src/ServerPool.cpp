#include <entry/ServerPool.h>

#include <entry/SteadyTime.h>

#include <charconv>

namespace sycamore::entry {

namespace {

// Work of a request before the first one was measured.
constexpr base::Duration kAssumedWork = base::milliseconds(100);

} // namespace

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
                       double phase)
  : context_(context)
  , server_(server)
  , load_(server.slots, kAssumedWork)
  , coldStart_(phase)
  , trial_(phase, clockNow())
{
}

std::shared_ptr<ServerConnection> ServerPool::acquire(std::size_t limit, base::TimePoint now)
{
  if (auto connection = idle_.take(now)) {
    ++busy_;
    return connection;
  }
  if (busy_ >= limit) {
    return nullptr;
  }
  ++busy_;
  return std::make_shared<ServerConnection>(context_, endpointOf(server_));
}

void ServerPool::giveBack(const std::shared_ptr<ServerConnection>& connection, bool reusable)
{
  busy_ -= busy_ > 0 ? 1 : 0;
  if (reusable && connection->open()) {
    idle_.put(connection);
  }
}

void ServerPool::dropIdle()
{
  idle_.drop();
}

} // namespace sycamore::entry
