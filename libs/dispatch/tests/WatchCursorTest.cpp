#include <dispatch/WatchCursor.h>

#include <doctest/doctest.h>

using namespace sycamore;
using dispatch::WatchCursor;
using std::chrono::seconds;

namespace {

constexpr base::Duration kTrustDelay = seconds(5);

} // namespace

// Guards against skipping a change that a watch has missed: a configuration was in force four
// seconds late on one entry VM.
TEST_CASE("watches that end without events don't skip changes that they may have missed")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrustDelay);
  cursor.onListed(40);
  // Revision 47 is a change that was made while watches missed events. Two watches end meanwhile.
  cursor.onWatchEnded(48, false, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 40);
  cursor.onWatchEnded(48, false, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 40);
}

TEST_CASE("a revision without events is used after the delay, before the store drops older history")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrustDelay);
  cursor.onListed(40);
  cursor.onWatchEnded(48, false, clock.now());
  clock.advance(seconds(4));
  cursor.onWatchEnded(60, false, clock.now());
  clock.advance(seconds(1));
  CHECK(cursor.startRevision(clock.now()) == 48);
  clock.advance(seconds(4));
  CHECK(cursor.startRevision(clock.now()) == 60);
}

TEST_CASE("events that were received are not requested again")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrustDelay);
  cursor.onListed(40);
  cursor.onWatchEnded(44, false, clock.now());
  cursor.onWatchEnded(48, true, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 48);
  clock.advance(seconds(10));
  CHECK(cursor.startRevision(clock.now()) == 48);
}

TEST_CASE("a watch that ended at an older revision changes nothing")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrustDelay);
  cursor.onListed(40);
  cursor.onWatchEnded(48, true, clock.now());
  cursor.onWatchEnded(44, false, clock.now());
  clock.advance(seconds(10));
  CHECK(cursor.startRevision(clock.now()) == 48);
}
