#include "BackendFaults.h"

#include <unistd.h>

namespace sycamore::backend_stub {

namespace {

// Exit status that distinguishes an injected crash from other exits.
constexpr int kCrashStatus = 86;

} // namespace

void BackendFaults::crashOnRequest(const std::string& requestId)
{
  const std::lock_guard lock(mutex_);
  crashRequestId_ = requestId;
}

void BackendFaults::crashOnKey(const std::string& key)
{
  const std::lock_guard lock(mutex_);
  crashKey_ = key;
}

void BackendFaults::crashIfConfigured(const Work& work) const
{
  const std::lock_guard lock(mutex_);
  const bool byRequest = !crashRequestId_.empty() && crashRequestId_ == work.requestId;
  const bool byKey = !crashKey_.empty() && crashKey_ == work.key;
  if (byRequest || byKey) {
    _exit(kCrashStatus);
  }
}

void BackendFaults::slowDown(double factor, base::TimePoint until)
{
  const std::lock_guard lock(mutex_);
  slowFactor_ = factor;
  slowUntil_ = until;
}

base::Duration BackendFaults::slowedServiceTime(base::Duration serviceTime,
                                                base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  if (now >= slowUntil_) {
    return serviceTime;
  }
  return std::chrono::duration_cast<base::Duration>(serviceTime * slowFactor_);
}

} // namespace sycamore::backend_stub
