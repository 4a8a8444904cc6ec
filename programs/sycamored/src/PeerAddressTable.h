#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <map>
#include <mutex>
#include <string>

namespace sycamore::daemon {

// The peer addresses of the other entry VMs, as the control thread last published them, for callers
// that must not wait for the control thread. Thread-safe.
class PeerAddressTable
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
