#pragma once

#include <control/ControlCounters.h>

#include <string>

namespace sycamore::daemon {

// Returns all ControlCounters in Prometheus text format. Dashboards rely on the names, which must
// not change.
std::string controlCountersText(const control::ControlCounters& counters);

} // namespace sycamore::daemon
