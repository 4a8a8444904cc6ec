#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;
using test_process::waitUntil;

namespace {

void checkHistory(const Cluster& cluster, LoadGenerator& load)
{
  const auto violations = cluster.check(load.stop());
  CHECK_MESSAGE(violations.empty(), describe(violations));
}

// Suspends the process for the duration while the load goes on.
void pauseFor(test_process::TestProcess& process, base::Duration duration)
{
  process.pause();
  const auto until = base::SteadyClock().now() + duration;
  waitUntil([&] { return base::SteadyClock().now() >= until; }, duration + 1s);
  process.resume();
}

} // namespace

TEST_SUITE("pauses")
{
  // Guards against keys that move to another server whenever their server stalls for a short time.
  TEST_CASE("a server frozen for 300 ms keeps its keys")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::waitServed(load, 100, 10s));
    cluster.waitBalanced("layout");
    const auto before = cluster.owners("layout");
    pauseFor(cluster.server("layout-1").process(), 300ms);
    CHECK(e2e::waitServed(load, 200, 10s));
    CHECK(cluster.owners("layout") == before);
    checkHistory(cluster, load);
  }

  // Guards against a server that, after a pause, still executes requests for keys that were
  // assigned to another server during the pause.
  TEST_CASE("a server resumed after 3 s is not a second owner of its keys")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), { .threads = 12 });
    CHECK(e2e::waitServed(load, 100, 10s));
    pauseFor(cluster.server("layout-1").process(), 3s);
    CHECK(e2e::waitServed(load, 300, 10s));
    cluster.waitSettled(15s);
    checkHistory(cluster, load);
  }

  // Guards against an entry VM that still dispatches after its server lease passed to another VM.
  TEST_CASE("a lease holder resumed after 2 s starts no execution twice")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), { .threads = 12 });
    CHECK(e2e::waitServed(load, 100, 10s));
    const std::string holder = cluster.holderOf("layout-1");
    REQUIRE_FALSE(holder.empty());
    cluster.waitBalanced("layout");
    const auto before = cluster.owners("layout");
    pauseFor(cluster.vm(holder).process(), 2s);
    CHECK(e2e::waitServed(load, 300, 10s));
    CHECK(cluster.owners("layout") == before);
    checkHistory(cluster, load);
  }
}
