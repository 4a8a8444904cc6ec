#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace sycamore::transport {

// Pool of a server's worker threads, which are started on demand up to a limit. shutdown() runs the
// queued tasks before it joins the threads.
class WorkerPool : public httplib::TaskQueue
{
public:
  explicit WorkerPool(std::size_t maxThreads);
  ~WorkerPool() override;

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

private:
  void run();

  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idleThreads_ = 0;
  bool stopping_ = false;
};

} // namespace sycamore::transport
