#pragma once

#include <base/Time.h>

#include <chrono>

namespace sycamore::entry {

inline base::TimePoint clockNow()
{
  return base::SteadyClock().now();
}

// Converts a deadline to the clock of Asio's timers. Both clocks are the host's monotonic clock.
inline std::chrono::steady_clock::time_point toSteadyClock(base::TimePoint time)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch()));
}

} // namespace sycamore::entry
