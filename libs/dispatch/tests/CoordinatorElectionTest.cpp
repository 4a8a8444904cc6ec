#include <dispatch/CoordinatorElection.h>
#include <dispatch/StoreContact.h>

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

// Guards against changes that reach the other VMs too late because the coordinator is cut off from
// the store: a changed configuration has to be in force within 2 s.
TEST_CASE("a coordinator that the store stops answering is replaced within 1.5 s")
{
  for (int phase = 0; phase < 300; phase += 20) {
    CAPTURE(phase);
    base::ManualClock clock;
    CoordinatorElection election({}, clock.now());
    StoreContact contact({}, clock.now());
    const base::TimePoint lostAt = clock.now() + milliseconds(2000 + phase);
    for (int i = 0; !election.shouldTryTakeover(0, true, clock.now()); ++i) {
      if (contact.isReadDue(clock.now())) {
        contact.onReadSent(clock.now());
        if (clock.now() < lostAt) {
          contact.onAnswered(clock.now());
        }
      }
      if (i % 10 == 0) {
        election.onHeartbeat({ kOtherVm, 3, contact.isRecent(clock.now()), false }, clock.now());
      }
      clock.advance(milliseconds(20));
    }
    CHECK(clock.now() >= lostAt);
    CHECK(clock.now() - lostAt <= milliseconds(1500));
  }
}

TEST_CASE("a coordinator keeps its role while a slow store answers within half a second")
{
  base::ManualClock clock;
  CoordinatorElection election({}, clock.now());
  StoreContact contact({}, clock.now());
  base::TimePoint sentAt;
  bool pending = false;
  for (int i = 0; i < 500; ++i) {
    if (pending && clock.now() >= sentAt + milliseconds(450)) {
      contact.onAnswered(sentAt);
      pending = false;
    }
    if (!pending && contact.isReadDue(clock.now())) {
      contact.onReadSent(clock.now());
      sentAt = clock.now();
      pending = true;
    }
    if (i % 10 == 0) {
      election.onHeartbeat({ kOtherVm, 3, contact.isRecent(clock.now()), false }, clock.now());
    }
    CHECK_FALSE(election.shouldTryTakeover(0, true, clock.now()));
    clock.advance(milliseconds(20));
  }
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
