#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace sycamore::test_http {

// Thread pool for cpp-httplib, which occupies one thread per open connection. Threads are started
// only when none is idle, so that a stub with few connections has few threads.
class ConnectionPool : public httplib::TaskQueue
{
public:
  explicit ConnectionPool(std::size_t maxThreads);

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

private:
  void work();

  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace sycamore::test_http
