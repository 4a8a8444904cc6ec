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

// Holds the process still for the time, by the answers that the load gets meanwhile.
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
  // Guards against keys that move at every short stall of a server.
  TEST_CASE("a server frozen for 300 ms keeps its keys")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::servesMore(load, 100, 10s));
    cluster.waitBalanced("layout");
    const auto before = cluster.owners("layout");
    pauseFor(cluster.server("layout-1").process(), 300ms);
    CHECK(e2e::servesMore(load, 200, 10s));
    CHECK(cluster.owners("layout") == before);
    checkHistory(cluster, load);
  }

  // Guards against a frozen server that goes on with its keys after it lost them.
  TEST_CASE("a server frozen for 3 s and thawed is no second owner")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), { .threads = 12 });
    CHECK(e2e::servesMore(load, 100, 10s));
    pauseFor(cluster.server("layout-1").process(), 3s);
    CHECK(e2e::servesMore(load, 300, 10s));
    cluster.waitSettled(15s);
    checkHistory(cluster, load);
  }

  // Guards against an entry VM that dispatches after its tenancy passed to another.
  TEST_CASE("a holder frozen for 2 s and resumed starts nothing twice")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), { .threads = 12 });
    CHECK(e2e::servesMore(load, 100, 10s));
    const std::string holder = cluster.holderOf("layout-1");
    REQUIRE_FALSE(holder.empty());
    cluster.waitBalanced("layout");
    const auto before = cluster.owners("layout");
    pauseFor(cluster.vm(holder).process(), 2s);
    CHECK(e2e::servesMore(load, 300, 10s));
    CHECK(cluster.owners("layout") == before);
    checkHistory(cluster, load);
  }
}
