#include "CallerFixture.h"

#include <ServerTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Fixture = CallerFixture;

// Returns the plan of a shutdown that began so long ago that only certain answers count.
dispatch::ShutdownPlan lateShutdown(base::Duration left)
{
  const base::Duration grace = seconds(6);
  return { base::SteadyClock().now() - grace + left, grace };
}

} // namespace

// Guards against work that is begun although the process ends before its answer.
TEST_CASE("a VM that stops refuses a request that may outlast it, and closes the connection")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("s0"));
  REQUIRE(fixture.runUntil([&] { return caller.received.find("ok-s0") != std::string::npos; }));
  fixture.callers.beginDrain();
  fixture.dispatcher().beginShutdown(lateShutdown(milliseconds(500)));
  caller.received.clear();
  caller.send(get("s1"));
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(fixture.dispatcher().counts().refusedStopping == 1);
  CHECK(fixture.dispatcher().counts().passedOn == 1);
}

TEST_CASE("a VM that stops serves a request whose answer is due before it ends")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  fixture.callers.beginDrain();
  fixture.dispatcher().beginShutdown(lateShutdown(seconds(2)));
  caller.send(get("s2"));
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.find("ok-s2") != std::string::npos);
}

// Guards against connections that end without an answer because a server was silent.
TEST_CASE("a request without an answer when the process ends gets status 504")
{
  Fixture fixture;
  fixture.silenceServer();
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("e1"));
  REQUIRE(fixture.runUntil([&] { return fixture.callers.activeRequests() == 1; }));
  fixture.context().run_for(milliseconds(20));
  fixture.callers.beginDrain();
  fixture.callers.endRequests();
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 504"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that no server has received when the process ends gets status 503")
{
  Fixture fixture;
  fixture.removeServers();
  fixture.addUnreachableServer();
  fixture.publish();
  Caller caller(fixture.context(), fixture.port);
  caller.send(get("e2"));
  REQUIRE(fixture.runUntil([&] { return fixture.dispatcher().counts().received == 1; }));
  fixture.callers.beginDrain();
  fixture.callers.endRequests();
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a request that is still being received when the process ends gets status 503")
{
  Fixture fixture;
  Caller caller(fixture.context(), fixture.port);
  caller.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\n" + requestIdLine("e3") +
              "Content-Length: 10\r\n\r\nhalf");
  REQUIRE(fixture.runUntil([&] { return fixture.callers.activeRequests() == 1; }));
  fixture.context().run_for(milliseconds(20));
  fixture.callers.beginDrain();
  fixture.callers.endRequests();
  CHECK(fixture.runUntil([&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
  CHECK(fixture.dispatcher().counts().received == 0);
}
