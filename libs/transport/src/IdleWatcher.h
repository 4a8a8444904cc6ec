#pragma once

#include <base/Time.h>

#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace sycamore::transport {

// Watches idle connections on one thread and calls back when one becomes readable, is closed by the
// peer, or reaches its deadline. Each call to watch() leads to at most one callback, after which
// the connection is no longer watched. Thread-safe.
class IdleWatcher
{
public:
  using Callback = std::function<void(int fd)>;

  // Callbacks run on the watcher's thread and must not block.
  IdleWatcher(Callback onReadable, Callback onExpired);
  ~IdleWatcher();
  IdleWatcher(const IdleWatcher&) = delete;
  IdleWatcher& operator=(const IdleWatcher&) = delete;

  // Watches a connection until the deadline.
  void watch(int fd, base::TimePoint deadline);

  // Expires all watched connections at once, whatever their deadline.
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
