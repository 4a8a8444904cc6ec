#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

TEST_CASE("more requests than slots run at a server")
{
  constexpr unsigned kSlots = 3;
  constexpr int kCallers = 40;
  constexpr int kCalls = 5;
  LocalWorld world(
    [](ServerRequest& request, ServerResponse& response) {
      // Long enough for the callers to overlap.
      const base::TimePoint until = after(milliseconds(2));
      CHECK(eventually([&] { return base::SteadyClock().now() >= until; }));
      FakeBackend::answerOk(request, response);
    },
    kSlots);
  std::atomic<int> ran{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      Caller caller;
      for (int call = 0; call < kCalls; ++call) {
        const auto answer = caller.call(
          world.vm, "/v1/layout/plan", { { kKeyHeader, "store-" + std::to_string(call) } });
        ran += verdictOf(answer) == "ran -" ? 1 : 0;
      }
    });
  }
  for (auto& thread : callers) {
    thread.join();
  }
  CHECK(ran == kCallers * kCalls);
  CHECK(world.backend.mostRunning <= static_cast<int>(kSlots));
  CHECK(world.backend.mostRunning > 1);
  CHECK(eventually([&] { return world.dispatcher->inFlight() == 0; }));
}

TEST_CASE("work whose grant lapsed is sent")
{
  LocalWorld world;
  world.dispatcher->setGrant(grantOf("0-3", milliseconds(-1)));
  const HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };
  const auto plan = world.caller.call(world.vm, "/v1/layout/plan", headers);
  CHECK(plan.head.header("sycamore-outcome") == "not-run");
  HeaderList once = headers;
  once.emplace_back(kRequestIdHeader, newId());
  CHECK(isRefusedUntilDeadline(world.caller.call(world.vm, "/v1/layout/reset", once), "not-owner"));
  CHECK(world.backend.count() == 0);
}

TEST_CASE("work is sent for a shard that the grant does not cover")
{
  LocalWorld world;
  world.dispatcher->setGrant(grantOf("17"));
  const HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };
  const auto answer = world.caller.call(world.vm, "/v1/layout/plan", headers);
  CHECK(isRefusedUntilDeadline(answer, "not-owner"));
  CHECK(world.backend.count() == 0);
  CHECK(world.dispatcher->inFlight() == 0);
}

TEST_CASE("work whose grant lapsed while it waited for its slot is sent")
{
  Barrier barrier;
  LocalWorld world(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(world.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return world.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "600" } });
  });
  CHECK(eventually([&] { return world.dispatcher->queued() == 1; }));
  // The gate learns of a lapse only with the next grant: it admits, and the send has to refuse.
  world.dispatcher->setGrant(grantOf("0-3", milliseconds(50)));
  const base::TimePoint lapse = after(milliseconds(60));
  CHECK(eventually([&] { return base::SteadyClock().now() >= lapse; }));
  barrier.open();
  first.join();
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-owner"));
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a shard that is being released takes new work or loses its running request")
{
  Barrier barrier;
  LocalWorld world([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::answerOk(request, response);
  });
  const auto shards = ownership::ShardSet::parse("0-3");
  BufferedResponse first;
  std::thread running([&] {
    Caller caller;
    first = caller.call(world.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return world.backend.count() == 1; }));
  world.dispatcher->setWithheldShards(shards);
  CHECK(world.dispatcher->hasRequestsInFlight(shards));
  const auto answer = world.caller.call(
    world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } });
  CHECK(isRefusedUntilDeadline(answer, "not-owner"));
  barrier.open();
  running.join();
  CHECK(verdictOf(first) == "ran -");
  // The caller has its answer slightly before the dispatcher notes the end.
  CHECK(eventually([&] { return !world.dispatcher->hasRequestsInFlight(shards); }));
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a request that waits when its shard is released is sent")
{
  Barrier barrier;
  LocalWorld world(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(world.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return world.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "500" } });
  });
  CHECK(eventually([&] { return world.dispatcher->queued() == 1; }));
  world.dispatcher->setWithheldShards(ownership::ShardSet::parse("0-3"));
  barrier.open();
  first.join();
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-owner"));
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a request that waits when the tenancy is lost hangs or is sent")
{
  Barrier barrier;
  LocalWorld world(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(world.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return world.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "500" } });
  });
  CHECK(eventually([&] { return world.dispatcher->queued() == 1; }));
  world.vm.dispatchers.remove(base::ServerId("layout-1"));
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-holder"));
  barrier.open();
  first.join();
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a crash is not blamed on the requests that were in flight")
{
  LocalWorld world(FakeBackend::hangUp);
  const std::string id = newId();
  world.caller.reset(world.vm, id);
  const auto suspects = world.dispatcher->takeCrashSuspects();
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].subjects().front() == "id:" + id);
  CHECK(world.dispatcher->takeCrashSuspects().empty());
}
