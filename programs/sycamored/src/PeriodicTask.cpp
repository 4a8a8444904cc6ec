#include "PeriodicTask.h"

namespace sycamore::daemon {

PeriodicTask::PeriodicTask(base::Duration interval, std::function<void()> onTick)
  : interval_(interval)
  , onTick_(std::move(onTick))
  , thread_([this] { run(); })
{
}

PeriodicTask::~PeriodicTask()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeUp_.notify_all();
  thread_.join();
}

void PeriodicTask::run()
{
  std::unique_lock lock(mutex_);
  while (!wakeUp_.wait_for(lock, interval_, [this] { return stopping_; })) {
    lock.unlock();
    onTick_();
    lock.lock();
  }
}

} // namespace sycamore::daemon
