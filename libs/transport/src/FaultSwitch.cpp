#include <transport/FaultSwitch.h>

namespace sycamore::transport {

void FaultSwitch::setUnreachable(std::set<std::string> addresses)
{
  std::lock_guard lock(mutex_);
  unreachable_ = std::move(addresses);
  active_ = !unreachable_.empty();
}

bool FaultSwitch::isUnreachable(const std::string& address) const
{
  if (!active_) {
    return false;
  }
  std::lock_guard lock(mutex_);
  return unreachable_.contains(address);
}

} // namespace sycamore::transport
