#pragma once

#include <entry/EventLog.h>

#include <dispatch/Configuration.h>

#include <cstdint>

namespace sycamore::entry {

// Logs a version of the configuration that takes effect, and what of it this VM doesn't know or
// can't apply. `revision` is that of the store's object.
void logConfiguration(EventLog& log,
                      const dispatch::Configuration& configuration,
                      std::uint64_t revision);

} // namespace sycamore::entry
