#include <router/DisconnectMonitor.h>

namespace sycamore::router {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 50 };

} // namespace

DisconnectMonitor::DisconnectMonitor()
  : thread_([this] { run(); })
{
}

DisconnectMonitor::~DisconnectMonitor()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeUp_.notify_all();
  thread_.join();
}

void DisconnectMonitor::run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wakeUp_.wait_for(lock, kCheckInterval);
    for (auto& [isSenderDisconnected, cancel] : watchedExchanges_) {
      if (!cancel->isCancelled() && isSenderDisconnected()) {
        cancel->cancel();
      }
    }
  }
}

DisconnectMonitor::Watch::Watch(DisconnectMonitor& monitor,
                                std::function<bool()> isSenderDisconnected,
                                transport::CancelHandle& cancel)
  : monitor_(monitor)
{
  std::lock_guard lock(monitor_.mutex_);
  entry_ = monitor_.watchedExchanges_.emplace(
    monitor_.watchedExchanges_.end(), std::move(isSenderDisconnected), &cancel);
}

DisconnectMonitor::Watch::~Watch()
{
  std::lock_guard lock(monitor_.mutex_);
  monitor_.watchedExchanges_.erase(entry_);
}

} // namespace sycamore::router
