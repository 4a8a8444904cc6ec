#pragma once

#include <base/Time.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace sycamore::backend_stub {

// Executions that can be cancelled, by request id. Thread-safe.
class CancelRegistry
{
public:
  // Waits until the given time or until the request is cancelled. Returns whether it was cancelled.
  bool waitCancelled(const std::string& requestId, base::TimePoint until);

  // Cancels the executions waiting under the id. Returns false if there are none.
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
