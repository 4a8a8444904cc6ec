#include <entry/SteadyTime.h>

#include <doctest/doctest.h>

#include <ctime>

using namespace sycamore;
using namespace sycamore::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kTolerance = seconds(1);

base::Duration timeOf(clockid_t clock)
{
  timespec time{};
  clock_gettime(clock, &time);
  return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

// Guards against a coordinator that wakes up after a suspension and trusts an old confirmation.
TEST_CASE("time goes on while the machine is suspended")
{
  const base::Duration difference = clockNow().time_since_epoch() - timeOf(CLOCK_BOOTTIME);
  CHECK(difference <= kTolerance);
  CHECK(difference >= -kTolerance);
}

TEST_CASE("a deadline is as far away by the clock of the timers")
{
  for (const base::Duration left :
       { base::Duration(milliseconds(-500)), base::Duration(0), base::Duration(seconds(100)) }) {
    const auto timerLeft = toSteadyClock(clockNow() + left) - std::chrono::steady_clock::now();
    CHECK(timerLeft <= left + kTolerance);
    CHECK(timerLeft >= left - kTolerance);
  }
  CHECK(toSteadyClock(base::TimePoint::max()) == std::chrono::steady_clock::time_point::max());
  CHECK(toSteadyClock(base::TimePoint{}) <= std::chrono::steady_clock::now());
}
