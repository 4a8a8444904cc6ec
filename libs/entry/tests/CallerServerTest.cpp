#include "DispatcherFixture.h"

#include <entry/CallerServer.h>

#include <ServerTexts.h>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using std::chrono::milliseconds;
using namespace sycamore::wire::testing;

namespace {

// Returns a free port on the loopback interface.
std::uint16_t freePort(asio::io_context& context)
{
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

// A caller with one connection. Collects the bytes that arrive in `received`.
struct Caller
{
  Caller(asio::io_context& context, std::uint16_t port)
    : socket(context)
  {
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    read();
  }

  void read()
  {
    socket.async_read_some(asio::buffer(chunk), [this](const error_code& error, std::size_t count) {
      received.append(chunk.data(), count);
      if (error) {
        ended = true;
      } else {
        read();
      }
    });
  }

  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

  tcp::socket socket;
  std::array<char, 4096> chunk{};
  std::string received;
  bool ended = false;
};

struct Fixture : DispatcherFixture
{
  Fixture()
    : port(freePort(context()))
    , callers(context(), { "127.0.0.1", port }, dispatcher())
  {
    addPlainServer([](const std::string& request) {
      return FakeServer::Reaction{ validAnswer(requestIdOf(request),
                                               "ok-" + requestIdOf(request)) };
    });
    publish();
  }

  std::uint16_t port;
  CallerServer callers;
};

std::string get(const std::string& id)
{
  return "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine(id) + "\r\n";
}

} // namespace

TEST_CASE("requests on one connection are answered in order")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("a1") + get("a2"));
  CHECK(fixture.runUntil([&] { return caller.received.find("ok-a2") != std::string::npos; }));
  CHECK(caller.received.find("ok-a1") < caller.received.find("ok-a2"));
  CHECK_FALSE(caller.ended);
}

TEST_CASE("a request with a chunked body is received completely and answered")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine("c") +
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  caller.send("2\r\nde\r\n0\r\n\r\n");
  CHECK(fixture.runUntil([&] { return caller.received.find("ok-c") != std::string::npos; }));
}

// Guards against request smuggling: a request hidden in the body of another one.
TEST_CASE(
  "a request with both Content-Length and chunked encoding gets 400 and its connection is closed")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 400"));
}

TEST_CASE("headers larger than the limit are refused with status 431")
{
  Fixture fixture;
  fixture.configuration().limits.headerBytes = 256;
  fixture.publish();
  Caller caller(fixture.context(), fixture.port);
  caller.send("GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX: " + std::string(400, 'x') +
              "\r\n\r\n");
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 431"));
}

TEST_CASE("a request with Expect: 100-continue gets the interim answer 100 before its body is sent")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine("e") +
              "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  CHECK(fixture.runUntil([&] { return caller.received.starts_with("HTTP/1.1 100"); }));
  caller.send("hi");
  CHECK(fixture.runUntil([&] { return caller.received.find("ok-e") != std::string::npos; }));
}

TEST_CASE(
  "while draining, requests are answered with Connection: close and idle connections are closed")
{
  Fixture fixture;
  Caller idle(fixture.context(), fixture.port);
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("d0"));
  REQUIRE(fixture.runUntil([&] { return caller.received.find("ok-d0") != std::string::npos; }));
  fixture.callers.beginDrain();
  caller.send(get("d1"));
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.find("ok-d1") != std::string::npos);
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  fixture.callers.stopAccepting();
  CHECK(fixture.runUntil([&] { return idle.ended; }));
  CHECK(fixture.callers.activeRequests() == 0);
}

TEST_CASE("an idle caller connection is closed after the configured idle timeout")
{
  Fixture fixture;
  fixture.configuration().limits.idleTimeout = milliseconds(150);
  fixture.publish();
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("i"));
  REQUIRE(fixture.runUntil([&] { return caller.received.find("ok-i") != std::string::npos; }));
  CHECK(fixture.runUntil([&] { return caller.ended; }));
}
