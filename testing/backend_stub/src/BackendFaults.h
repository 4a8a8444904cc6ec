#pragma once

#include "Work.h"

#include <base/Time.h>

#include <mutex>
#include <string>

namespace sycamore::backend_stub {

// Faults that executions meet, switched over POST /faults. Thread-safe.
class BackendFaults
{
public:
  // Executions of this request id or key end the process; "" switches it off.
  void crashOnRequest(const std::string& requestId);
  void crashOnKey(const std::string& key);

  // Ends the process at once if the work is set to crash it.
  void crashIfSet(const Work& work) const;

  // Until the time, executions take longer by the factor.
  void slowDown(double factor, base::TimePoint until);
  base::Duration stretched(base::Duration serviceTime, base::TimePoint now) const;

private:
  mutable std::mutex mutex_;
  std::string crashRequestId_;
  std::string crashKey_;
  double slowFactor_ = 1;
  base::TimePoint slowUntil_{};
};

} // namespace sycamore::backend_stub
