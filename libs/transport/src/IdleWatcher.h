#pragma once

#include <base/Time.h>

#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace sycamore::transport {

// Watches idle connections on one thread and calls back when one becomes readable, is closed by
// the other side, or has been idle for too long. A connection is watched until one callback.
// Safe from all threads.
class IdleWatcher
{
public:
  using Callback = std::function<void(int fd)>;

  // Callbacks run on the watcher's thread and must not block.
  IdleWatcher(Callback onReadable, Callback onExpired);
  ~IdleWatcher();
  IdleWatcher(const IdleWatcher&) = delete;
  IdleWatcher& operator=(const IdleWatcher&) = delete;

  // Starts to watch a connection until the deadline.
  void watch(int fd, base::TimePoint deadline);

  // Ends the watching of all connections through the expiry callback.
  void expireAll();

  // Stops the thread. No callback runs afterwards.
  void stop();

private:
  void run();
  void expire(base::TimePoint now);

  const Callback onReadable_;
  const Callback onExpired_;
  const int epollFd_;
  const int wakeFd_;
  std::mutex mutex_;
  std::unordered_map<int, base::TimePoint> deadlines_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace sycamore::transport
