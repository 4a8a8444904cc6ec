#pragma once

#include <entry/EventLog.h>

#include <dispatch/CoordinatorActions.h>

#include <cstdint>
#include <vector>

namespace sycamore::entry {

// Writes one line for each previous owner and reason, with the ranges as lists of first key, last
// key, previous fencing token, next one, and next owner. `epoch` is that of the coordinator.
void logOwnerChanges(EventLog& log,
                     const std::vector<dispatch::OwnerChange>& changes,
                     std::uint64_t epoch,
                     base::TimePoint now);

} // namespace sycamore::entry
