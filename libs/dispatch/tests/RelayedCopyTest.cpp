#include <dispatch/RelayedCopy.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

// Guards against a VM that trusts a relaying VM which has been lost or cut off: a configuration has
// to be in force within 2 s.
TEST_CASE(
  "a VM watches the store itself until it hears of a relaying VM, and when that falls silent")
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

TEST_CASE("changes that follow on the copy need no read")
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

// Guards against a copy that stays old after a lost datagram.
TEST_CASE(
  "an announced change whose message is lost is read after a moment, and again if that fails")
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

// Guards against a copy that stays old while changes follow closely on each other.
TEST_CASE("further announcements don't put off the read of the first one")
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

// Guards against a copy that counts as complete with a part of a change missing.
TEST_CASE("a change in parts is complete with the last part, in any order")
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

// Guards against an old message that brings back what a later read no longer has.
TEST_CASE("a change older than the copy is not taken over")
{
  RelayedCopy copy({});
  copy.onRead(20);
  CHECK_FALSE(copy.onChangePart({ 10, 14 }));
}
