#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

// Adds and removes servers under load while the platform has the faults, then clears the faults.
void addAndRemoveServers(const nlohmann::json& faults, const nlohmann::json& clearedFaults)
{
  Cluster cluster({});
  LoadGenerator load(cluster.balancer(), {});
  CHECK(e2e::waitServed(load, 50, 10s));
  cluster.setPlatformFaults(faults);
  cluster.startServer("layout-7", "layout", "a");
  cluster.startServer("layout-8", "layout", "b");
  CHECK(e2e::waitServed(load, 100, 10s));
  cluster.server("layout-1").kill();
  CHECK(e2e::waitServed(load, 200, 15s));
  cluster.setPlatformFaults(clearedFaults);
  cluster.removeServer("layout-1");
  cluster.waitSettled(20s);
  CHECK(e2e::waitServed(load, 100, 10s));
  const auto violations = cluster.check(load.stop());
  CHECK_MESSAGE(violations.empty(), describe(violations));
}

} // namespace

TEST_SUITE("platform")
{
  // Guards against tasks of an entry VM that wait for the platform one after another.
  TEST_CASE("servers join and leave while the platform is slow")
  {
    addAndRemoveServers({ { "slow_ms", 200 } }, { { "slow_ms", 0 } });
  }

  // Guards against writes that are dropped or applied twice when only the answer was lost.
  TEST_CASE("servers join and leave while answers of writes are lost")
  {
    addAndRemoveServers({ { "lose_answers", 6 } }, { { "lose_answers", 0 } });
  }

  // Guards against decisions that are based on a stale VM list or a stale shard map.
  TEST_CASE("servers join and leave while the VM list is stale and watches lag")
  {
    addAndRemoveServers({ { "list_stale", true }, { "watch_delay_ms", 1500 } },
                        { { "list_stale", false }, { "watch_delay_ms", 0 } });
  }
}
