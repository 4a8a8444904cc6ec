#pragma once

#include <control/ControlCounters.h>

#include <string>

namespace sycamore::daemon {

// All ControlCounters in Prometheus' text format. The names are stable.
std::string controlCountersText(const control::ControlCounters& counters);

} // namespace sycamore::daemon
