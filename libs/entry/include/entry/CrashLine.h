#pragma once

#include <entry/EventLog.h>

namespace sycamore::entry {

// While it exists, a `crash` line with the handler and the exception is logged before
// std::terminate() ends the process. There may be one at a time.
class CrashLine
{
public:
  explicit CrashLine(const EventLog& log);
  ~CrashLine();
  CrashLine(const CrashLine&) = delete;
  CrashLine& operator=(const CrashLine&) = delete;
};

} // namespace sycamore::entry
