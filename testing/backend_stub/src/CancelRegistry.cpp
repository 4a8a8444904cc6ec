#include "CancelRegistry.h"

namespace sycamore::backend_stub {

bool CancelRegistry::waitCancelled(const std::string& requestId, base::TimePoint until)
{
  const base::SteadyClock clock{};
  std::unique_lock lock(mutex_);
  Entry& entry = entries_[requestId];
  ++entry.waiting;
  while (!entry.cancelled && clock.now() < until) {
    cancelled_.wait_for(lock, until - clock.now());
  }
  const bool cancelled = entry.cancelled;
  if (--entry.waiting == 0) {
    entries_.erase(requestId);
  }
  return cancelled;
}

bool CancelRegistry::cancel(const std::string& requestId)
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(requestId);
  if (found == entries_.end()) {
    return false;
  }
  found->second.cancelled = true;
  cancelled_.notify_all();
  return true;
}

} // namespace sycamore::backend_stub
