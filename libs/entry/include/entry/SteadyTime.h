#pragma once

#include <base/Time.h>

#include <chrono>

namespace sycamore::entry {

// Returns the time by the host's monotonic clock that also counts the time for which the machine
// was suspended. A VM that wakes up must not trust what it knew before as if it were recent.
base::TimePoint clockNow();

// Converts a deadline to the clock of Asio's timers, which stands still while the machine is
// suspended. The latest time there is stays the latest.
std::chrono::steady_clock::time_point toSteadyClock(base::TimePoint time);

} // namespace sycamore::entry
