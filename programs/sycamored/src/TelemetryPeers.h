#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <map>
#include <mutex>
#include <string>

namespace sycamore::daemon {

// The other entry VMs as control last knew them, for calls that must not wait for the control
// thread. Safe from all threads.
class TelemetryPeers
{
public:
  using Addresses = std::map<base::VmId, std::string>;

  void set(Addresses addresses)
  {
    const std::lock_guard lock(mutex_);
    addresses_ = std::move(addresses);
  }
  Addresses get() const
  {
    const std::lock_guard lock(mutex_);
    return addresses_;
  }

private:
  mutable std::mutex mutex_;
  Addresses addresses_;
};

} // namespace sycamore::daemon
