#include <dispatch/RelayedCopy.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

// Guards against relying on a relaying VM that has failed or is cut off: a configuration has to be
// in force within 2 s.
TEST_CASE("a VM watches the store itself before a relaying VM announces itself and once that is "
          "unresponsive")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  CHECK(copy.mustWatchStore(clock.now()));
  copy.onRelayAnnouncement(10, clock.now());
  CHECK_FALSE(copy.mustWatchStore(clock.now()));
  clock.advance(milliseconds(699));
  CHECK_FALSE(copy.mustWatchStore(clock.now()));
  clock.advance(milliseconds(1));
  CHECK(copy.mustWatchStore(clock.now()));
}

TEST_CASE("changes based on the copy's revision need no read")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.onRead(10);
  copy.onRelayAnnouncement(8, clock.now());
  CHECK(copy.onChangePart({ 8, 12 }));
  copy.onRelayAnnouncement(12, clock.now());
  clock.advance(milliseconds(600));
  copy.onRelayAnnouncement(12, clock.now());
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
}

// Guards against a copy that stays outdated after the loss of a datagram.
TEST_CASE(
  "an announced change whose message is lost is read after a delay, and again if the read fails")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.onRead(10);
  copy.onRelayAnnouncement(12, clock.now());
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  CHECK_FALSE(copy.onChangePart({ 12, 14 }));
  clock.advance(milliseconds(150));
  CHECK(copy.beginReadIfDue(clock.now()));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  clock.advance(milliseconds(500));
  CHECK(copy.beginReadIfDue(clock.now()));
  copy.onRead(14);
  clock.advance(milliseconds(500));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
}

// Guards against a copy that stays outdated while changes follow each other closely.
TEST_CASE("further announcements don't delay the read of the first announced change")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.onRead(10);
  copy.onRelayAnnouncement(12, clock.now());
  clock.advance(milliseconds(100));
  copy.onRelayAnnouncement(13, clock.now());
  clock.advance(milliseconds(50));
  CHECK(copy.beginReadIfDue(clock.now()));
}

// Guards against a copy that counts as complete while a part of a change is missing.
TEST_CASE("a change in parts is complete once all parts have arrived, in any order")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.onRead(10);
  CHECK(copy.onChangePart({ 10, 14, 2, 3 }));
  CHECK(copy.onChangePart({ 10, 14, 0, 3 }));
  CHECK(copy.onChangePart({ 10, 14, 0, 3 }));
  copy.onRelayAnnouncement(14, clock.now());
  clock.advance(milliseconds(150));
  CHECK(copy.beginReadIfDue(clock.now()));
  CHECK(copy.onChangePart({ 10, 14, 1, 3 }));
  clock.advance(milliseconds(500));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  CHECK_FALSE(copy.onChangePart({ 10, 14, 1, 3 }));
}

// Guards against a late message that restores objects which a later read no longer contains.
TEST_CASE("a change older than the copy is not applied")
{
  RelayedCopy copy({});
  copy.onRead(20);
  CHECK_FALSE(copy.onChangePart({ 10, 14 }));
}

// Guards against hundreds of VMs that all read the store while the coordinator's role changes.
TEST_CASE("a VM on standby leaves the time of a takeover before it watches the store itself")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.setStandby(true);
  CHECK(copy.mustWatchStore(clock.now()));
  copy.onRelayAnnouncement(10, clock.now());
  clock.advance(milliseconds(1599));
  CHECK_FALSE(copy.mustWatchStore(clock.now()));
  clock.advance(milliseconds(1));
  CHECK(copy.mustWatchStore(clock.now()));
}

// Guards against refused calls of all VMs to a store that is down, of which only a few are needed.
TEST_CASE("a VM on standby waits while it hears the coordinator, but not forever")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.setStandby(true);
  copy.onRelayAnnouncement(10, clock.now());
  for (int i = 0; i < 49; ++i) {
    clock.advance(milliseconds(200));
    copy.onCoordinatorHeard(clock.now());
    CHECK_FALSE(copy.mustWatchStore(clock.now()));
  }
  clock.advance(milliseconds(200));
  copy.onCoordinatorHeard(clock.now());
  CHECK(copy.mustWatchStore(clock.now()));
  copy.onRelayAnnouncement(10, clock.now());
  CHECK_FALSE(copy.mustWatchStore(clock.now()));
}

TEST_CASE("a VM that isn't on standby doesn't wait for a coordinator that doesn't watch")
{
  base::ManualClock clock;
  RelayedCopy copy({});
  copy.onRelayAnnouncement(10, clock.now());
  clock.advance(milliseconds(700));
  copy.onCoordinatorHeard(clock.now());
  CHECK(copy.mustWatchStore(clock.now()));
}
