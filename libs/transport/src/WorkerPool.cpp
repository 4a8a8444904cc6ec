#include "WorkerPool.h"

namespace sycamore::transport {

WorkerPool::WorkerPool(std::size_t maxThreads)
  : maxThreads_(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
  shutdown();
}

bool WorkerPool::tryEnqueue(std::function<void()> task)
{
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idleThreads_ && threads_.size() < maxThreads_) {
      threads_.emplace_back([this] { run(); });
    }
  }
  wakeUp_.notify_one();
  return true;
}

void WorkerPool::shutdown()
{
  std::vector<std::thread> threads;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    threads.swap(threads_);
  }
  wakeUp_.notify_all();
  for (auto& thread : threads) {
    thread.join();
  }
}

void WorkerPool::run()
{
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idleThreads_;
    wakeUp_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idleThreads_;
    if (tasks_.empty()) {
      return;
    }
    auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

} // namespace sycamore::transport
