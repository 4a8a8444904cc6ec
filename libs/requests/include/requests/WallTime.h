#pragma once

#include <chrono>

namespace sycamore::requests {

// Calendar time in milliseconds since the Unix epoch. Only request ids, Retry-After dates and the
// order of quarantine records between entry VMs use it; waiting is always in TimePoint.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace sycamore::requests
