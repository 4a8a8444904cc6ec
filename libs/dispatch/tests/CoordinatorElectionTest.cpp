#include <dispatch/CoordinatorElection.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

const Coordinator kOther{ base::VmId("other"), 7, "10.0.0.9" };

} // namespace

TEST_CASE("nobody takes over from a coordinator that is heard and reaches the store")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  for (int i = 0; i < 50; ++i) {
    election.onHeartbeat({ kOther, 3, true, false }, clock.now());
    CHECK_FALSE(election.shouldTryTakeover(0, true, clock.now()));
    clock.advance(milliseconds(200));
  }
}

TEST_CASE("the first in the order takes over from a silent coordinator, the others later")
{
  base::ManualClock clock;
  CoordinatorElection first({}, clock.now());
  CoordinatorElection third({}, clock.now());
  first.onHeartbeat({ kOther, 3, true, false }, clock.now());
  third.onHeartbeat({ kOther, 3, true, false }, clock.now());
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
    election.onHeartbeat({ kOther, 3, false, false }, clock.now());
    CHECK_FALSE(election.shouldTryTakeover(0, false, clock.now()));
    tried = election.shouldTryTakeover(0, true, clock.now());
    clock.advance(milliseconds(200));
  }
  CHECK(tried);
}

TEST_CASE("a leaving coordinator is replaced at once")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  election.onHeartbeat({ kOther, 3, true, true }, clock.now());
  CHECK(election.shouldTryTakeover(0, true, clock.now()));
}

TEST_CASE("messages of a replaced coordinator don't count")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  OwnershipRecord record;
  record.epoch = 4;
  election.onRecordRead(record, clock.now());
  clock.advance(milliseconds(800));
  election.onHeartbeat({ kOther, 3, true, false }, clock.now());
  CHECK(election.shouldTryTakeover(0, true, clock.now()));
}
