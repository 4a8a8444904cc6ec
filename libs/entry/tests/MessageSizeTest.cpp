#include "CallerFixture.h"

#include <ServerTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// More than the 16-bit sizes of the HTTP library's own fields can hold.
constexpr std::size_t kLong = 66'000;

struct Fixture : CallerFixture
{
  Fixture()
  {
    removeServers();
    server = &addPlainServer([this](const std::string& request) { return react(request); });
    for (dispatch::Route& route : configuration().routes) {
      route.timeout = seconds(20);
      route.targetLatency = seconds(10);
    }
    publish();
  }

  FakeServer::Reaction react(const std::string& request)
  {
    const std::string id = requestIdOf(request);
    if (id.starts_with("trailer")) {
      return { .bytes = "HTTP/1.1 200 OK\r\n" + requestIdLine(id) + signatureLine() +
                        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: " +
                        std::string(kLong, 'x') + "\r\n\r\n" };
    }
    return { .bytes = validAnswer(id, "ok-" + id),
             .delay = milliseconds(id.starts_with("slow") ? 300 : 0) };
  }

  // Returns whether a caller that has just connected is answered.
  bool isServing()
  {
    Caller other(context(), port);
    other.send(get("other"));
    runUntil([&] { return other.received.find("ok-other") != std::string::npos; });
    return other.received.find("ok-other") != std::string::npos;
  }

  // Returns whether a request with a header field of this size reaches the server whole.
  bool passesOnCookie(std::size_t size)
  {
    const std::string cookie = "Cookie: " + std::string(size, 'x') + "\r\n";
    Caller caller(context(), port);
    caller.send("GET /read/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine("a") + cookie +
                "\r\n");
    runUntil([&] { return caller.received.find("ok-a") != std::string::npos; });
    return server->requests().size() == 1 &&
           server->requests().front().find(cookie) != std::string::npos &&
           caller.received.find(" 200 ") != std::string::npos;
  }

  FakeServer* server = nullptr;
};

std::string order(const std::string& id)
{
  return "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine(id) +
         "Content-Length: 2\r\n\r\nhi";
}

} // namespace

// Guards against a caller within the limits whose request ends the process.
TEST_CASE("a header field of 66,000 bytes within the limit is passed on whole")
{
  Fixture fixture;
  fixture.configuration().limits.headerBytes = 128 * 1024;
  fixture.publish();
  CHECK(fixture.passesOnCookie(kLong));
  CHECK(fixture.isServing());
}

// Guards against a header within the limit that the connection stops reading halfway.
TEST_CASE("a header larger than what is read ahead is passed on whole")
{
  Fixture fixture;
  fixture.configuration().limits.headerBytes = 512 * 1024;
  fixture.publish();
  CHECK(fixture.passesOnCookie(300'000));
}

// Guards against bytes behind a waiting request that are parsed in one piece, past all limits.
TEST_CASE("a long trailer that has collected behind a waiting request is refused")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send(order("slow-1") + order("2") + "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n" +
              requestIdLine("3") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: " +
              std::string(kLong, 'x') + "\r\n\r\n");
  fixture.runUntil([&] { return caller.ended; });
  CHECK(caller.received.find("ok-slow-1") != std::string::npos);
  CHECK(caller.received.find("ok-2") != std::string::npos);
  CHECK(caller.received.find(" 431 ") != std::string::npos);
  CHECK(fixture.server->requests().size() == 2);
  CHECK(fixture.isServing());
}

// Guards against a server whose answer ends the process.
TEST_CASE("a long trailer of a server's answer costs that answer only")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("trailer"));
  fixture.runUntil([&] { return caller.received.find("\r\n\r\n") != std::string::npos; });
  CHECK(caller.received.find(" 502 ") != std::string::npos);
  CHECK(fixture.isServing());
}
