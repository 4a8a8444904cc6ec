#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace sycamore::transport {

// Addresses ("ip:port") that this process must not reach. Tests use it to cut processes off from
// each other; it stays empty in production. Safe from all threads.
class FaultSwitch
{
public:
  // Replaces the set of unreachable addresses.
  void setUnreachable(std::set<std::string> addresses);

  bool isUnreachable(const std::string& address) const;

private:
  std::atomic<bool> active_{ false };
  mutable std::mutex mutex_;
  std::set<std::string> unreachable_;
};

} // namespace sycamore::transport
