#pragma once

#include <base/Time.h>

#include <chrono>

namespace sycamore::entry {

inline base::TimePoint clockNow()
{
  return base::SteadyClock().now();
}

// A deadline as Asio's timers take it. Both count the host's monotonic clock.
inline std::chrono::steady_clock::time_point toSteadyClock(base::TimePoint time)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch()));
}

} // namespace sycamore::entry
