#include <entry/CallerServer.h>

#include <entry/CallerConnection.h>

#include <functional>
#include <numeric>

namespace sycamore::entry {

namespace {

// Maximum number of connections waiting to be accepted.
constexpr int kBacklog = 1024;

} // namespace

CallerServer::CallerServer(asio::io_context& context,
                           const dispatch::Endpoint& listen,
                           Dispatcher& dispatcher)
  : context_(context)
  , dispatcher_(dispatcher)
  , listener_(context, listen, kBacklog, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

void CallerServer::beginDrain()
{
  draining_ = true;
}

void CallerServer::stopAccepting()
{
  listener_.stop();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->closeIdle();
  }
}

void CallerServer::endRequests()
{
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->endRequests();
  }
}

std::size_t CallerServer::activeRequests() const
{
  return std::transform_reduce(
    connections_.begin(), connections_.end(), std::size_t{ 0 }, std::plus<>(), [](const auto& c) {
      return c->activeRequests();
    });
}

void CallerServer::serve(tcp::socket socket)
{
  auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->start();
}

void CallerServer::remove(const std::shared_ptr<CallerConnection>& connection)
{
  connections_.erase(connection);
}

} // namespace sycamore::entry
