#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

TEST_CASE("a server runs no more requests at a time than it has slots")
{
  constexpr unsigned kSlots = 3;
  constexpr int kCallers = 40;
  constexpr int kCalls = 5;
  SingleVmFixture fixture(
    [](ServerRequest& request, ServerResponse& response) {
      // Long enough that the callers' requests overlap.
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
          fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-" + std::to_string(call) } });
        ran += verdictOf(answer) == "ran -" ? 1 : 0;
      }
    });
  }
  for (auto& thread : callers) {
    thread.join();
  }
  CHECK(ran == kCallers * kCalls);
  CHECK(fixture.backend.maxRunning <= static_cast<int>(kSlots));
  CHECK(fixture.backend.maxRunning > 1);
  CHECK(eventually([&] { return fixture.dispatcher->inFlight() == 0; }));
}

TEST_CASE("a request is not sent once the grant has expired")
{
  SingleVmFixture fixture;
  fixture.dispatcher->setGrant(grantOf("0-3", milliseconds(-1)));
  const HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };
  const auto plan = fixture.caller.call(fixture.vm, "/v1/layout/plan", headers);
  CHECK(plan.head.header("sycamore-outcome") == "not-run");
  HeaderList once = headers;
  once.emplace_back(kRequestIdHeader, newId());
  CHECK(
    isRefusedUntilDeadline(fixture.caller.call(fixture.vm, "/v1/layout/reset", once), "not-owner"));
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a request for a shard that the grant does not cover is not sent")
{
  SingleVmFixture fixture;
  fixture.dispatcher->setGrant(grantOf("17"));
  const HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan", headers);
  CHECK(isRefusedUntilDeadline(answer, "not-owner"));
  CHECK(fixture.backend.count() == 0);
  CHECK(fixture.dispatcher->inFlight() == 0);
}

TEST_CASE("a request is not sent if the grant expires while it waits for a slot")
{
  Barrier barrier;
  SingleVmFixture fixture(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(fixture.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "600" } });
  });
  CHECK(eventually([&] { return fixture.dispatcher->queued() == 1; }));
  // The gate is notified of the expiry only by the next grant: it admits the request, and the check
  // before the send has to refuse it.
  fixture.dispatcher->setGrant(grantOf("0-3", milliseconds(50)));
  const base::TimePoint expired = after(milliseconds(60));
  CHECK(eventually([&] { return base::SteadyClock().now() >= expired; }));
  barrier.open();
  first.join();
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-owner"));
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a shard that is being released takes no new request and completes its running one")
{
  Barrier barrier;
  SingleVmFixture fixture([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::answerOk(request, response);
  });
  const auto shards = ownership::ShardSet::parse("0-3");
  BufferedResponse first;
  std::thread running([&] {
    Caller caller;
    first = caller.call(fixture.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  fixture.dispatcher->setWithheldShards(shards);
  CHECK(fixture.dispatcher->hasRequestsInFlight(shards));
  const auto answer = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } });
  CHECK(isRefusedUntilDeadline(answer, "not-owner"));
  barrier.open();
  running.join();
  CHECK(verdictOf(first) == "ran -");
  // The caller receives its answer slightly before the dispatcher records the end.
  CHECK(eventually([&] { return !fixture.dispatcher->hasRequestsInFlight(shards); }));
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a request that waits for a slot is not sent once its shard is being released")
{
  Barrier barrier;
  SingleVmFixture fixture(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(fixture.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "500" } });
  });
  CHECK(eventually([&] { return fixture.dispatcher->queued() == 1; }));
  fixture.dispatcher->setWithheldShards(ownership::ShardSet::parse("0-3"));
  barrier.open();
  first.join();
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-owner"));
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a request that waits for a slot is refused when the server lease is lost")
{
  Barrier barrier;
  SingleVmFixture fixture(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(fixture.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  BufferedResponse second;
  std::thread waiting([&] {
    Caller caller;
    second = caller.call(
      fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "500" } });
  });
  CHECK(eventually([&] { return fixture.dispatcher->queued() == 1; }));
  fixture.vm.dispatchers.remove(base::ServerId("layout-1"));
  waiting.join();
  CHECK(isRefusedUntilDeadline(second, "not-holder"));
  barrier.open();
  first.join();
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("the requests in flight when a server crashed are reported as suspects")
{
  SingleVmFixture fixture(FakeBackend::closeWithoutAnswer);
  const std::string id = newId();
  fixture.caller.reset(fixture.vm, id);
  const auto suspects = fixture.dispatcher->takeCrashSuspects();
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].subjects().front() == "id:" + id);
  CHECK(fixture.dispatcher->takeCrashSuspects().empty());
}
