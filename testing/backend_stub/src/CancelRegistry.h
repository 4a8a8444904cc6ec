#pragma once

#include <base/Time.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace sycamore::backend_stub {

// The executions that can be cancelled, by request id. Thread-safe.
class CancelRegistry
{
public:
  // Waits until the time, or until the request is cancelled, which it returns.
  bool waitCancelled(const std::string& requestId, base::TimePoint until);

  // Cancels the executions that wait under the id. False if there are none.
  bool cancel(const std::string& requestId);

private:
  struct Entry
  {
    int waiting = 0;
    bool cancelled = false;
  };

  std::mutex mutex_;
  std::condition_variable cancelled_;
  std::map<std::string, Entry> entries_;
};

} // namespace sycamore::backend_stub
