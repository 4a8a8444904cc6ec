#include <entry/SteadyTime.h>

#include <ctime>

namespace sycamore::entry {

base::TimePoint clockNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::TimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::steady_clock::time_point toSteadyClock(base::TimePoint time)
{
  if (time == base::TimePoint::max()) {
    return std::chrono::steady_clock::time_point::max();
  }
  return std::chrono::steady_clock::now() +
         std::chrono::duration_cast<std::chrono::steady_clock::duration>(time - clockNow());
}

} // namespace sycamore::entry
