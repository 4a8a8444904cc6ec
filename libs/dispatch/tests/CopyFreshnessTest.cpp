#include <dispatch/CopyFreshness.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

// Guards against announcing a copy whose watch has gone silent.
TEST_CASE("a copy is reliable only for as long as a change may take after it was shown current")
{
  base::ManualClock clock;
  CopyFreshness freshness({});
  CHECK_FALSE(freshness.isReliable(clock.now()));
  CHECK(freshness.age(clock.now()) == base::Duration::zero());
  const base::TimePoint shownAt = clock.now();
  freshness.onShownCurrent(shownAt);
  clock.advance(milliseconds(1999));
  CHECK(freshness.isReliable(clock.now()));
  clock.advance(milliseconds(1));
  CHECK_FALSE(freshness.isReliable(clock.now()));
  CHECK(freshness.age(clock.now()) == milliseconds(2000));
  freshness.onShownCurrent(clock.now());
  CHECK(freshness.isReliable(clock.now()));
}

TEST_CASE("a late answer to an earlier call makes a copy no older")
{
  base::ManualClock clock;
  CopyFreshness freshness({});
  const base::TimePoint earlier = clock.now();
  clock.advance(milliseconds(1500));
  freshness.onShownCurrent(clock.now());
  freshness.onShownCurrent(earlier);
  CHECK(freshness.age(clock.now()) == base::Duration::zero());
}
