#pragma once

#include <router/ServerDispatcher.h>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sycamore::router {

// The dispatchers of the servers whose tenancy this VM holds. Safe from all threads.
class DispatcherTable
{
public:
  // Null when this VM doesn't hold the server's tenancy.
  std::shared_ptr<ServerDispatcher> find(const base::ServerId& server) const;
  std::vector<std::shared_ptr<ServerDispatcher>> all() const;

  void insert(std::shared_ptr<ServerDispatcher> dispatcher);
  // Ends the dispatcher: what waits is refused as not run.
  void remove(const base::ServerId& server);

private:
  mutable std::mutex mutex_;
  std::map<base::ServerId, std::shared_ptr<ServerDispatcher>> dispatchers_;
};

} // namespace sycamore::router
