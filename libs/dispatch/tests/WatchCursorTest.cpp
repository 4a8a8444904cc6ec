#include <dispatch/WatchCursor.h>

#include <doctest/doctest.h>

using namespace sycamore;
using dispatch::WatchCursor;
using std::chrono::seconds;

namespace {

constexpr base::Duration kTrust = seconds(5);

} // namespace

// Guards against skipping a change that a silent watch has missed: a configuration was in force
// four seconds late on one entry VM.
TEST_CASE("quiet watches don't skip the changes that they may have missed")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrust);
  cursor.onListed(40);
  // The change of revision 47 was made while watches heard nothing. Two watches end in that time.
  cursor.onWatchEnded(48, false, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 40);
  cursor.onWatchEnded(48, false, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 40);
}

TEST_CASE("a quiet revision is used in the end, so that the history isn't outlived")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrust);
  cursor.onListed(40);
  cursor.onWatchEnded(48, false, clock.now());
  clock.advance(seconds(4));
  cursor.onWatchEnded(60, false, clock.now());
  clock.advance(seconds(1));
  CHECK(cursor.startRevision(clock.now()) == 48);
  clock.advance(seconds(4));
  CHECK(cursor.startRevision(clock.now()) == 60);
}

TEST_CASE("events are not asked for again")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrust);
  cursor.onListed(40);
  cursor.onWatchEnded(44, false, clock.now());
  cursor.onWatchEnded(48, true, clock.now());
  CHECK(cursor.startRevision(clock.now()) == 48);
  clock.advance(seconds(10));
  CHECK(cursor.startRevision(clock.now()) == 48);
}

TEST_CASE("an older page changes nothing")
{
  base::ManualClock clock;
  WatchCursor cursor(kTrust);
  cursor.onListed(40);
  cursor.onWatchEnded(48, true, clock.now());
  cursor.onWatchEnded(44, false, clock.now());
  clock.advance(seconds(10));
  CHECK(cursor.startRevision(clock.now()) == 48);
}
