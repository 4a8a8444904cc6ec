#pragma once

#include <chrono>

namespace sycamore::requests {

// Calendar time in milliseconds since the Unix epoch. Used only for request ids, Retry-After dates
// and the order of quarantine records across entry VMs; waiting always uses TimePoint.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace sycamore::requests
