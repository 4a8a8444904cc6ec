#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

const HeaderList kShortDeadline{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };

} // namespace

TEST_CASE("a request whose connection broke after it was sent is not reported as not run")
{
  LocalWorld world(FakeBackend::hangUp);
  const auto answer = world.caller.reset(world.vm, newId());
  CHECK(answer.head.status == 502);
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a request without an answer at its deadline is not reported as not run")
{
  Barrier barrier;
  LocalWorld world([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::hangUp(request, response);
  });
  HeaderList headers = kShortDeadline;
  const std::string id = newId();
  headers.emplace_back(kRequestIdHeader, id);
  const auto answer = world.caller.call(world.vm, "/v1/layout/reset", headers);
  CHECK(answer.head.status == 504);
  CHECK(verdictOf(answer) == "unknown timeout");
  CHECK(world.backend.count() == 1);
  // The server is told to stop.
  CHECK(world.backend.cancels() == std::vector<std::string>{ id });
  barrier.open();
}

TEST_CASE("an answer that breaks off is not passed on as whole, nor repeated")
{
  for (const char* method : { "plan", "reset" }) {
    CAPTURE(method);
    LocalWorld world(FakeBackend::breakOff);
    const auto answer =
      world.caller.call(world.vm,
                        std::string("/v1/layout/") + method,
                        { { kKeyHeader, "store-1" }, { kRequestIdHeader, newId() } });
    CHECK(answer.result == ExchangeResult::Broken);
    CHECK(world.backend.count() == 1);
    REQUIRE(eventually([&] { return world.vm.records().size() == 1; }));
    CHECK(world.vm.records()[0].outcome == requests::Outcome::Unknown);
    CHECK(world.vm.records()[0].answerTruncated);
  }
}

TEST_CASE("an answer that breaks off at the server breaks off through a forwarding VM")
{
  ForwardingWorld world(FakeBackend::breakOff);
  const auto answer = world.caller.call(world.front, "/v1/layout/plan");
  CHECK(answer.result == ExchangeResult::Broken);
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a broken connection behind a forwarding VM is reported as unknown")
{
  ForwardingWorld world(FakeBackend::hangUp);
  const auto answer = world.caller.reset(world.front, newId());
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(world.backend.count() == 1);
}

TEST_CASE("an outcome word that is not understood is not taken for not run")
{
  LocalWorld world([](ServerRequest&, ServerResponse& response) {
    response.setHeader(kOutcomeHeader, "perhaps");
    response.send(503, "{}", "application/json");
  });
  const auto answer = world.caller.reset(world.vm, newId());
  CHECK(verdictOf(answer) == "unknown internal");
}

TEST_CASE("a server's refusal is passed on as not run after the allowed attempts")
{
  LocalWorld world(FakeBackend::refuseWith("overloaded"));
  const auto answer = world.caller.call(world.vm, "/v1/layout/plan");
  CHECK(answer.head.status == 503);
  CHECK(verdictOf(answer) == "not-run overloaded");
  CHECK(world.backend.count() == 3);
}

TEST_CASE("a refusal after an attempt that may have run is not reported as not run")
{
  LocalWorld world;
  world.backend.setWork([&](ServerRequest& request, ServerResponse& response) {
    if (world.backend.count() > 1) {
      FakeBackend::refuseWith("overloaded")(request, response);
    } else {
      FakeBackend::hangUp(request, response);
    }
  });
  const auto answer = world.caller.call(world.vm, "/v1/layout/plan");
  CHECK(verdictOf(answer) == "unknown overloaded");
  CHECK(world.backend.count() == 3);
}

TEST_CASE("a lost owner after an attempt that may have run is not reported as not run")
{
  LocalWorld world;
  world.backend.setWork([&](ServerRequest& request, ServerResponse& response) {
    publish(world.vm, { routeTo("layout-1", world.backend.address, nullptr, world.vm) });
    FakeBackend::hangUp(request, response);
  });
  HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "200" } };
  const auto answer = world.caller.call(world.vm, "/v1/layout/plan", headers);
  CHECK(verdictOf(answer) == "unknown no-owner");
  CHECK(world.backend.count() == 1);
}

TEST_CASE("an idempotent request that failed once is answered by its retry")
{
  LocalWorld world;
  world.backend.setWork([&](ServerRequest& request, ServerResponse& response) {
    if (world.backend.count() > 1) {
      FakeBackend::answerOk(request, response);
    } else {
      FakeBackend::hangUp(request, response);
    }
  });
  const auto answer = world.caller.call(world.vm, "/v1/layout/plan");
  CHECK(verdictOf(answer) == "ran -");
  CHECK(answer.body == "done");
  CHECK(world.backend.count() == 2);
}

TEST_CASE("retries against a failing server do not exceed the method's budget")
{
  LocalWorld world(FakeBackend::refuseWith("overloaded"));
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    const auto answer = world.caller.call(world.vm, "/v1/layout/plan");
    CHECK(answer.head.header("sycamore-outcome") == "not-run");
  }
  // The budget allows three retries before the first success.
  CHECK(world.backend.count() == kCalls + 3);
}

TEST_CASE("rerouting to a new holder does not use up the attempts of a retry")
{
  LocalWorld world;
  world.vm.dispatchers.remove(base::ServerId("layout-1"));
  world.backend.setWork([&](ServerRequest& request, ServerResponse& response) {
    if (world.backend.count() > 1) {
      FakeBackend::answerOk(request, response);
    } else {
      FakeBackend::hangUp(request, response);
    }
  });
  world.dispatcher = makeDispatcher("layout-1", world.backend.address);
  world.dispatcher->setWithheldShards(ownership::ShardSet::parse("0-3"));
  world.vm.dispatchers.insert(world.dispatcher);
  BufferedResponse answer;
  std::thread calling([&] { answer = world.caller.call(world.vm, "/v1/layout/plan"); });
  // The withheld shards make the request look for a new route several times.
  const base::TimePoint until = after(milliseconds(200));
  CHECK(eventually([&] { return base::SteadyClock().now() >= until; }));
  world.dispatcher->setWithheldShards({});
  calling.join();
  CHECK(verdictOf(answer) == "ran -");
  CHECK(world.backend.count() == 2);
}
