#pragma once

#include <string>

namespace sycamore::daemon {

// Sends the log to standard error, one line for each change of state, in the form
// "time level vm=ID message". Called once, before other threads start.
void startLogging(const std::string& vm, const std::string& level);

// "debug", "info", "warning" or "error". False for another word. Safe from all threads.
bool setLogLevel(const std::string& level);

// Writes a line. Safe from all threads.
void logInfo(const std::string& line);
void logWarning(const std::string& line);

} // namespace sycamore::daemon
