#include "VmList.h"

namespace sycamore::platform_stub {

using nlohmann::json;

void VmList::put(const std::string& id, json vm, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  vm["id"] = id;
  current_[id] = std::move(vm);
  recordState(now);
}

void VmList::remove(const std::string& id, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  current_.erase(id);
  recordState(now);
}

void VmList::recordState(base::TimePoint now)
{
  history_.emplace_back(now, current_);
}

void VmList::setLag(base::Duration lag)
{
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

void VmList::setStale(bool stale, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  if (stale == !stale_.is_null()) {
    return;
  }
  stale_ = stale ? visibleLocked(now) : json();
}

json VmList::visible(base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  return stale_.is_null() ? visibleLocked(now) : stale_;
}

json VmList::visibleLocked(base::TimePoint now) const
{
  json vms = json::array();
  for (auto state = history_.rbegin(); state != history_.rend(); ++state) {
    if (state->first + lag_ <= now) {
      for (const auto& [id, vm] : state->second) {
        vms.push_back(vm);
      }
      break;
    }
  }
  return { { "vms", vms } };
}

} // namespace sycamore::platform_stub
