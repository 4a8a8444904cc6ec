#include "CallerFixture.h"

#include <entry/EventLoop.h>
#include <entry/HandlerScope.h>
#include <entry/Listener.h>
#include <entry/PeerLink.h>
#include <entry/ServerConnection.h>
#include <entry/SteadyTime.h>

#include <ServerTexts.h>

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Runs a context for a while and collects the exceptions that leave its handlers.
class Loop
{
public:
  bool runUntil(asio::io_context& context, const std::function<bool()>& condition)
  {
    const base::TimePoint deadline = clockNow() + seconds(3);
    while (!condition() && clockNow() < deadline) {
      context.restart();
      asio::steady_timer timer(context, milliseconds(5));
      timer.async_wait([&context](const error_code&) { context.stop(); });
      runEventLoop(context,
                   [this](const HandlerFailure& failure) { failures_.push_back(failure); });
    }
    return condition();
  }

  const std::vector<HandlerFailure>& failures() const { return failures_; }

private:
  std::vector<HandlerFailure> failures_;
};

[[noreturn]] void fail()
{
  throw std::length_error("too large");
}

} // namespace

// Guards against an exception in one handler that ends all others.
TEST_CASE("an exception ends its handler only, and is described")
{
  asio::io_context context;
  bool hasRun = false;
  asio::post(context, [] {
    const HandlerScope scope("first");
    fail();
  });
  asio::post(context, [&] { hasRun = true; });
  Loop loop;
  CHECK(loop.runUntil(context, [&] { return hasRun; }));
  REQUIRE(loop.failures().size() == 1);
  CHECK(loop.failures()[0].handler == "first");
  CHECK(loop.failures()[0].type == "std::length_error");
  CHECK(loop.failures()[0].message == "too large");
  CHECK(std::string(HandlerScope::current()).empty());
}

// Guards against an exchange that stays open because the handling of its answer has failed.
TEST_CASE("an exception while an answer is handled closes its connection and no other")
{
  asio::io_context context;
  FakeServer server(context, [](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "x") };
  });
  const BufferQuota quota(1024 * 1024);
  const dispatch::Endpoint endpoint{ "127.0.0.1", server.port() };
  const auto failing = std::make_shared<ServerConnection>(context, endpoint, quota);
  const auto other = std::make_shared<ServerConnection>(context, endpoint, quota);
  const auto requestOf = [](const std::string& id) {
    return "GET / HTTP/1.1\r\n" + requestIdLine(id) + "\r\n";
  };
  bool isAnswered = false;
  failing->exchange(
    requestOf("a"), "a", false, clockNow() + seconds(1), [](const ExchangeResult&) { fail(); });
  other->exchange(
    requestOf("b"), "b", false, clockNow() + seconds(1), [&](const ExchangeResult& result) {
      isAnswered = result.end == ExchangeEnd::Answered;
    });
  Loop loop;
  CHECK(loop.runUntil(context, [&] { return isAnswered && !loop.failures().empty(); }));
  CHECK(loop.failures().at(0).handler == "server_answer");
  CHECK_FALSE(failing->open());
  CHECK(other->open());
  CHECK(quota.used() == 0);
}

// Guards against callers that wait for ever, and others that are cut, after a handler has failed.
TEST_CASE("a failure in the handling of one server's answer costs the other requests nothing")
{
  CallerFixture fixture;
  fixture.removeServers();
  fixture.addPlainServer([](const std::string& request) {
    const std::string id = requestIdOf(request);
    return id == "broken" ? FakeServer::Reaction{ "", FakeServer::Reaction::End::Reset }
                          : FakeServer::Reaction{ validAnswer(id, "ok-" + id) };
  });
  for (dispatch::Route& route : fixture.configuration().routes) {
    route.timeout = milliseconds(400);
  }
  fixture.publish();
  fixture.dispatcher().setConnectionBreakListener(
    [](std::uint64_t, const std::string&) { fail(); });
  Caller broken(fixture.context(), fixture.port);
  Caller other(fixture.context(), fixture.port);
  broken.send(get("broken"));
  other.send(get("other"));
  Loop loop;
  CHECK(loop.runUntil(fixture.context(), [&] {
    return other.received.find("ok-other") != std::string::npos && !loop.failures().empty();
  }));
  CHECK(loop.runUntil(fixture.context(),
                      [&] { return broken.received.find(" 504 ") != std::string::npos; }));
}

// Guards against a VM that hears nothing more after one message.
TEST_CASE("messages and connections are taken after one whose handling has failed")
{
  asio::io_context context;
  ByteCounts bytes;
  std::uint16_t port = 0;
  {
    asio::ip::udp::socket probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    port = probe.local_endpoint().port();
  }
  unsigned received = 0;
  PeerLink link(context, { "127.0.0.1", port }, bytes, [&](const PeerMessage&, const std::string&) {
    if (++received == 1) {
      fail();
    }
  });
  Loop loop;
  for (unsigned i = 1; i <= 2; ++i) {
    link.send({ "127.0.0.1", true }, CoordinatorStoppedMessage{});
    CHECK(loop.runUntil(context, [&] { return received == i; }));
  }
  unsigned accepted = 0;
  {
    const tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    port = probe.local_endpoint().port();
  }
  Listener listener(context, { "127.0.0.1", port }, 16, [&](const tcp::socket&) {
    if (++accepted == 1) {
      fail();
    }
  });
  for (unsigned i = 1; i <= 2; ++i) {
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    CHECK(loop.runUntil(context, [&] { return accepted == i; }));
  }
  CHECK(loop.failures().size() == 2);
}
