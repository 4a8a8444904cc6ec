#include <dispatch/RequestPause.h>

#include <doctest/doctest.h>

using namespace sycamore;
using dispatch::RequestPause;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint kNow{ seconds(1000) };

} // namespace

TEST_CASE("a server that turned a request away gets none until its time is over")
{
  RequestPause pause;
  CHECK_FALSE(pause.isActive(kNow));
  pause.onTurnedAway(milliseconds(1500), kNow);
  CHECK(pause.isActive(kNow + milliseconds(1499)));
  CHECK(pause.timeLeft(kNow + milliseconds(500)) == milliseconds(1000));
  CHECK_FALSE(pause.isActive(kNow + milliseconds(1500)));
  CHECK(pause.timeLeft(kNow + seconds(9)) == base::Duration::zero());
}

TEST_CASE("a shorter time, sent later, doesn't end a pause")
{
  RequestPause pause;
  pause.onTurnedAway(seconds(5), kNow);
  pause.onTurnedAway(seconds(1), kNow + seconds(1));
  CHECK(pause.isActive(kNow + seconds(4)));
  pause.onTurnedAway(seconds(3), kNow + seconds(4));
  CHECK(pause.isActive(kNow + seconds(6)));
}

// Guards against a server that a faulty value puts out of use for good.
TEST_CASE("a pause is bounded, whatever the server says")
{
  RequestPause pause;
  pause.onTurnedAway(base::Duration::max(), kNow);
  CHECK(pause.isActive(kNow + seconds(60)));
  CHECK_FALSE(pause.isActive(kNow + seconds(600)));
  RequestPause none;
  none.onTurnedAway(base::Duration::zero(), kNow);
  none.onTurnedAway(base::Duration(-5), kNow);
  none.onTurnedAway(base::Duration::min(), kNow);
  CHECK_FALSE(none.isActive(kNow));
}
