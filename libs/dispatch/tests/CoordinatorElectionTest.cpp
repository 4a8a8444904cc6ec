#include <dispatch/CoordinatorElection.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

const Coordinator kOtherVm{ base::VmId("other"), 7, "10.0.0.9" };

} // namespace

TEST_CASE("no VM takes over from a coordinator that sends heartbeats and reaches the store")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  for (int i = 0; i < 50; ++i) {
    election.onHeartbeat({ kOtherVm, 3, true, false }, clock.now());
    CHECK_FALSE(election.shouldTryTakeover(0, true, clock.now()));
    clock.advance(milliseconds(200));
  }
}

TEST_CASE("the first VM in the succession order takes over from an unresponsive coordinator, the "
          "others later")
{
  base::ManualClock clock;
  CoordinatorElection first({}, clock.now());
  CoordinatorElection third({}, clock.now());
  first.onHeartbeat({ kOtherVm, 3, true, false }, clock.now());
  third.onHeartbeat({ kOtherVm, 3, true, false }, clock.now());
  clock.advance(milliseconds(800));
  CHECK(first.shouldTryTakeover(0, true, clock.now()));
  CHECK_FALSE(third.shouldTryTakeover(2, true, clock.now()));
  clock.advance(milliseconds(300));
  CHECK(third.shouldTryTakeover(2, true, clock.now()));
}

TEST_CASE("a coordinator that can't reach the store is replaced by a VM that can")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  bool tried = false;
  for (int i = 0; i < 10 && !tried; ++i) {
    election.onHeartbeat({ kOtherVm, 3, false, false }, clock.now());
    CHECK_FALSE(election.shouldTryTakeover(0, false, clock.now()));
    tried = election.shouldTryTakeover(0, true, clock.now());
    clock.advance(milliseconds(200));
  }
  CHECK(tried);
}

TEST_CASE("a leaving coordinator is replaced immediately")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  election.onHeartbeat({ kOtherVm, 3, true, true }, clock.now());
  CHECK(election.shouldTryTakeover(0, true, clock.now()));
}

TEST_CASE("heartbeats of a replaced coordinator are ignored")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  OwnershipRecord record;
  record.epoch = 4;
  election.onRecordRead(record, clock.now());
  clock.advance(milliseconds(800));
  election.onHeartbeat({ kOtherVm, 3, true, false }, clock.now());
  CHECK(election.shouldTryTakeover(0, true, clock.now()));
}
