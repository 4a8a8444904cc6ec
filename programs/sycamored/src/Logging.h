#pragma once

#include <string>

namespace sycamore::daemon {

// Sends the log to standard error, one line for each change of state, in the form
// "time level vm=ID message". Called once, before other threads start.
void startLogging(const std::string& vm, const std::string& level);

// Sets the level to "debug", "info", "warning" or "error". Returns false, and keeps the level, for
// any other text. Thread-safe.
bool setLogLevel(const std::string& level);

// Writes one line to the log if the level allows it. Thread-safe.
void logInfo(const std::string& line);
void logWarning(const std::string& line);

} // namespace sycamore::daemon
