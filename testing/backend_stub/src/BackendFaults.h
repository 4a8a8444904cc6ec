#pragma once

#include "Work.h"

#include <base/Time.h>

#include <mutex>
#include <string>

namespace sycamore::backend_stub {

// Injected faults of executions, set by POST /faults. Thread-safe.
class BackendFaults
{
public:
  // An execution of this request id or key ends the process; "" turns the fault off.
  void crashOnRequest(const std::string& requestId);
  void crashOnKey(const std::string& key);

  // Ends the process at once if the work has the request id or key that is set to crash it.
  void crashIfConfigured(const Work& work) const;

  // Multiplies the duration of executions by the factor until the given time.
  void slowDown(double factor, base::TimePoint until);
  base::Duration slowedServiceTime(base::Duration serviceTime, base::TimePoint now) const;

private:
  mutable std::mutex mutex_;
  std::string crashRequestId_;
  std::string crashKey_;
  double slowFactor_ = 1;
  base::TimePoint slowUntil_{};
};

} // namespace sycamore::backend_stub
