#pragma once

#include <router/ServerDispatcher.h>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sycamore::router {

// The dispatchers of the servers whose server lease this VM holds. Thread-safe.
class DispatcherTable
{
public:
  // Returns null if this VM does not hold the server's lease.
  std::shared_ptr<ServerDispatcher> find(const base::ServerId& server) const;
  std::vector<std::shared_ptr<ServerDispatcher>> all() const;

  void insert(std::shared_ptr<ServerDispatcher> dispatcher);
  // Removes the dispatcher and notifies it that this VM no longer holds the server lease: its
  // queued requests are refused as not run.
  void remove(const base::ServerId& server);

private:
  mutable std::mutex mutex_;
  std::map<base::ServerId, std::shared_ptr<ServerDispatcher>> dispatchers_;
};

} // namespace sycamore::router
