#include <dispatch/ServerLoad.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

// Guards against requests to other domains only because no server there has been measured yet: the
// fixed initial time was less than what any real server takes.
TEST_CASE("a server that hasn't been measured counts as an average one of its service")
{
  base::ManualClock clock;
  ServerLoad unmeasured(2, milliseconds(100));
  unmeasured.assumeWork(milliseconds(370));
  CHECK(unmeasured.work() == milliseconds(370));
  CHECK(unmeasured.expectedLatency(clock.now()) >= milliseconds(370));
}

TEST_CASE("a measured server keeps its own processing time")
{
  ServerLoad load(1, milliseconds(100));
  load.onRequestSent();
  CHECK(load.onRequestExecuted(milliseconds(200), LoadReport{ 0, 0, 1, 1 }) == milliseconds(200));
  const base::Duration measured = load.work();
  load.assumeWork(milliseconds(900));
  CHECK(load.work() == measured);
}
