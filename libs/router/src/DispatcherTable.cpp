#include <router/DispatcherTable.h>

namespace sycamore::router {

std::shared_ptr<ServerDispatcher> DispatcherTable::find(const base::ServerId& server) const
{
  std::lock_guard lock(mutex_);
  const auto found = dispatchers_.find(server);
  return found == dispatchers_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ServerDispatcher>> DispatcherTable::all() const
{
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<ServerDispatcher>> list;
  for (const auto& [server, dispatcher] : dispatchers_) {
    list.push_back(dispatcher);
  }
  return list;
}

void DispatcherTable::insert(std::shared_ptr<ServerDispatcher> dispatcher)
{
  std::lock_guard lock(mutex_);
  dispatchers_[dispatcher->server()] = std::move(dispatcher);
}

void DispatcherTable::remove(const base::ServerId& server)
{
  std::shared_ptr<ServerDispatcher> removed;
  {
    std::lock_guard lock(mutex_);
    const auto found = dispatchers_.find(server);
    if (found == dispatchers_.end()) {
      return;
    }
    removed = std::move(found->second);
    dispatchers_.erase(found);
  }
  removed->onLeaseLost();
}

} // namespace sycamore::router
