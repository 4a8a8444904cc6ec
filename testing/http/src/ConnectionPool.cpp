#include <test_http/ConnectionPool.h>

namespace sycamore::test_http {

ConnectionPool::ConnectionPool(std::size_t maxThreads)
  : maxThreads_(maxThreads)
{
}

void ConnectionPool::enqueue(std::function<void()> task)
{
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idle_ && threads_.size() < maxThreads_) {
      threads_.emplace_back([this] { work(); });
    }
  }
  wake_.notify_one();
}

void ConnectionPool::shutdown()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void ConnectionPool::work()
{
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace sycamore::test_http
