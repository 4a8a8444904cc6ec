#include <entry/CrashLine.h>

#include <entry/HandlerFailure.h>

#include <atomic>
#include <cstdlib>
#include <exception>

namespace sycamore::entry {

namespace {

std::atomic<const EventLog*> crashLog{ nullptr };
std::terminate_handler previousHandler = nullptr;

[[noreturn]] void logAndAbort()
{
  // A second failure while the first is described must not lead here again.
  if (const EventLog* const log = crashLog.exchange(nullptr)) {
    log->writeLast("crash", toJson(currentFailure()));
  }
  std::abort();
}

} // namespace

CrashLine::CrashLine(const EventLog& log)
{
  crashLog = &log;
  previousHandler = std::set_terminate(&logAndAbort);
}

CrashLine::~CrashLine()
{
  std::set_terminate(previousHandler);
  crashLog = nullptr;
}

} // namespace sycamore::entry
