#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

// Adds and removes servers under load while the platform has the faults, then heals it.
void joinAndLeave(const nlohmann::json& faults, const nlohmann::json& healed)
{
  Cluster cluster({});
  LoadGenerator load(cluster.balancer(), {});
  CHECK(e2e::servesMore(load, 50, 10s));
  cluster.setPlatformFaults(faults);
  cluster.startServer("layout-7", "layout", "a");
  cluster.startServer("layout-8", "layout", "b");
  CHECK(e2e::servesMore(load, 100, 10s));
  cluster.server("layout-1").kill();
  CHECK(e2e::servesMore(load, 200, 15s));
  cluster.setPlatformFaults(healed);
  cluster.removeServer("layout-1");
  cluster.waitSettled(20s);
  CHECK(e2e::servesMore(load, 100, 10s));
  const auto violations = cluster.check(load.stop());
  CHECK_MESSAGE(violations.empty(), describe(violations));
}

} // namespace

TEST_SUITE("platform")
{
  // Guards against duties that wait for the platform one after the other.
  TEST_CASE("servers join and leave while the platform is slow")
  {
    joinAndLeave({ { "slow_ms", 200 } }, { { "slow_ms", 0 } });
  }

  // Guards against writes that are lost or repeated when only their answer was lost.
  TEST_CASE("servers join and leave while answers of writes are lost")
  {
    joinAndLeave({ { "lose_answers", 6 } }, { { "lose_answers", 0 } });
  }

  // Guards against decisions on a list or a map that is out of date.
  TEST_CASE("servers join and leave while the list is stale and watches lag")
  {
    joinAndLeave({ { "list_stale", true }, { "watch_delay_ms", 1500 } },
                 { { "list_stale", false }, { "watch_delay_ms", 0 } });
  }
}
