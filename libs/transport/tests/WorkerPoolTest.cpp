#include "WorkerPool.h"

#include <base/Time.h>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace sycamore;
using namespace sycamore::transport;

namespace {

bool waitFor(const std::atomic<bool>& condition)
{
  const base::TimePoint deadline = base::SteadyClock().now() + std::chrono::seconds(10);
  while (!condition && base::SteadyClock().now() < deadline) {
    std::this_thread::yield();
  }
  return condition;
}

} // namespace

// Guards against a worker that starts after the join and uses the connections of a destroyed
// server.
TEST_CASE("a task that arrives after the shutdown of its pool is refused")
{
  std::atomic<bool> ran{ false };
  {
    WorkerPool pool(2);
    pool.shutdown();
    CHECK(!pool.tryEnqueue([&ran] { ran = true; }));
  }
  CHECK(!ran);
}

TEST_CASE("tasks that were queued before the shutdown of their pool run")
{
  std::atomic<bool> entered{ false };
  std::atomic<bool> released{ false };
  std::atomic<int> ran{ 0 };
  WorkerPool pool(1);
  CHECK(pool.tryEnqueue([&] {
    entered = true;
    waitFor(released);
    ++ran;
  }));
  REQUIRE(waitFor(entered));
  CHECK(pool.tryEnqueue([&ran] { ++ran; }));
  std::thread stopper([&pool] { pool.shutdown(); });
  released = true;
  stopper.join();
  CHECK(ran == 2);
}
