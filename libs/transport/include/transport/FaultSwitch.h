#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace sycamore::transport {

// Fault injection for tests: the addresses ("ip:port") that this process must treat as unreachable,
// which simulates a network partition. Always empty in production. Thread-safe.
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
