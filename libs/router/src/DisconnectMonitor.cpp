#include <router/DisconnectMonitor.h>

namespace sycamore::router {

namespace {

constexpr std::chrono::milliseconds kInterval{ 50 };

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
    wakeUp_.wait_for(lock, kInterval);
    for (auto& [isSenderGone, cancel] : watched_) {
      if (!cancel->isCancelled() && isSenderGone()) {
        cancel->cancel();
      }
    }
  }
}

DisconnectMonitor::Watch::Watch(DisconnectMonitor& monitor,
                                std::function<bool()> isSenderGone,
                                transport::CancelHandle& cancel)
  : monitor_(monitor)
{
  std::lock_guard lock(monitor_.mutex_);
  entry_ = monitor_.watched_.emplace(monitor_.watched_.end(), std::move(isSenderGone), &cancel);
}

DisconnectMonitor::Watch::~Watch()
{
  std::lock_guard lock(monitor_.mutex_);
  monitor_.watched_.erase(entry_);
}

} // namespace sycamore::router
