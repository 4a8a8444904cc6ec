#include "DispatcherFixture.h"
#include "FakeStore.h"

#include <entry/StoreClient.h>

#include <ServerTexts.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

constexpr unsigned kConnections = 6;

// Makes this many calls at once, each on a connection of its own, and returns how many of them were
// answered.
unsigned answeredCalls(asio::io_context& context, StoreClient& client, unsigned calls)
{
  unsigned ended = 0;
  unsigned answered = 0;
  for (unsigned i = 0; i < calls; ++i) {
    client.read(wire::Kind::Configuration,
                wire::kConfigurationName,
                wire::ReadConsistency::Current,
                [&](const StoreAnswer& answer) {
                  ++ended;
                  answered += answer.outcome == StoreOutcome::Done ? 1 : 0;
                });
  }
  while (ended < calls) {
    context.restart();
    context.run_one();
  }
  return answered;
}

// Sends this many requests at once and returns how many of them the server answered.
unsigned servedRequests(DispatcherFixture& fixture, unsigned requests)
{
  unsigned ended = 0;
  unsigned served = 0;
  std::vector<std::shared_ptr<RequestHandler>> handlers;
  for (unsigned i = 0; i < requests; ++i) {
    handlers.push_back(
      fixture.begin(fixture.request("POST", "/order/x", ""), [&](const CallerAnswer& answer) {
        ++ended;
        served += answer.status == 200 ? 1 : 0;
      }));
  }
  CHECK(fixture.runUntil([&] { return ended == requests; }));
  return served;
}

} // namespace

// Guards against calls that go out one after the other on connections that are known to be suspect.
TEST_CASE("one unanswered call is enough to leave all connections that went silent with its own")
{
  asio::io_context context;
  FakeStore store(context, 10'000'000);
  store.write(1);
  ByteCounts bytes;
  CallClient calls(context, BufferQuota(1024 * 1024));
  StoreClient client(calls, { "127.0.0.1", store.port() }, bytes);
  REQUIRE(answeredCalls(context, client, kConnections) == kConnections);
  store.silenceConnections();
  CHECK(answeredCalls(context, client, 1) == 0);
  CHECK(answeredCalls(context, client, 1) == 1);
  CHECK(answeredCalls(context, client, kConnections) == kConnections);
}

// Guards against the same on connections to a server of which one still works.
TEST_CASE("one unanswered request is enough to leave silent connections while another one works")
{
  DispatcherFixture fixture;
  FakeServer& server = fixture.addPlainServer([](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "ok") };
  });
  fixture.publish();
  REQUIRE(servedRequests(fixture, 4) == 4);
  server.silenceConnections(3);
  CHECK(servedRequests(fixture, 2) == 1);
  CHECK(servedRequests(fixture, 4) == 4);
}

// Guards against calls that wait for the next probe of a store that answers.
TEST_CASE("a store that answers a later call isn't taken for unreachable when an earlier times out")
{
  asio::io_context context;
  FakeStore store(context, 10'000'000);
  store.write(1);
  ByteCounts bytes;
  CallClient calls(context, BufferQuota(1024 * 1024));
  StoreClient client(calls, { "127.0.0.1", store.port() }, bytes);
  REQUIRE(answeredCalls(context, client, 1) == 1);
  store.silenceConnections();
  CHECK(answeredCalls(context, client, 2) == 1);
  CHECK(client.reachable());
}
