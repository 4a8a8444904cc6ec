#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sycamore::transport {

// Pool of a server's worker threads, which are started on demand up to a limit. Thread-safe.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t maxThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Returns false, and doesn't run the task, once shutdown() has begun.
  bool tryEnqueue(std::function<void()> task);

  // Runs the queued tasks, then joins the threads. No task runs afterwards.
  void shutdown();

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
