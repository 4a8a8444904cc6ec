#include "CallerFixture.h"

#include <ServerTexts.h>

#include <boost/asio/write.hpp>

namespace sycamore::entry {

namespace {

using wire::testing::requestIdOf;

// Returns a free port on the loopback interface.
std::uint16_t freePort(asio::io_context& context)
{
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

} // namespace

Caller::Caller(asio::io_context& context, std::uint16_t port)
  : socket(context)
{
  socket.connect({ asio::ip::make_address("127.0.0.1"), port });
  read();
}

void Caller::send(const std::string& bytes)
{
  asio::write(socket, asio::buffer(bytes));
}

void Caller::read()
{
  socket.async_read_some(
    asio::buffer(chunk),
    [this, guard = std::weak_ptr(alive)](const error_code& error, std::size_t count) {
      if (guard.expired()) {
        return;
      }
      received.append(chunk.data(), count);
      if (error) {
        ended = true;
      } else {
        read();
      }
    });
}

CallerFixture::CallerFixture(std::uint64_t memoryBytes)
  : DispatcherFixture(memoryBytes)
  , port(freePort(context()))
  , callers(context(), { "127.0.0.1", port }, dispatcher())
{
  addPlainServer([silent = silent_](const std::string& request) {
    const std::string id = requestIdOf(request);
    return FakeServer::Reaction{ *silent ? "" : wire::testing::validAnswer(id, "ok-" + id) };
  });
  publish();
}

std::string get(const std::string& id)
{
  return "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n" + wire::testing::requestIdLine(id) +
         "\r\n";
}

} // namespace sycamore::entry
