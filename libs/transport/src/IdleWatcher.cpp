#include "IdleWatcher.h"

#include <transport/TransportError.h>

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace sycamore::transport {

using base::SteadyClock;
using base::TimePoint;

IdleWatcher::IdleWatcher(Callback onReadable, Callback onExpired)
  : onReadable_(std::move(onReadable))
  , onExpired_(std::move(onExpired))
  , epollFd_(epoll_create1(EPOLL_CLOEXEC))
  , wakeFd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (epollFd_ < 0 || wakeFd_ < 0) {
    throw TransportError("can't create an epoll or eventfd descriptor");
  }
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wakeFd_;
  epoll_ctl(epollFd_, EPOLL_CTL_ADD, wakeFd_, &event);
  thread_ = std::thread([this] { run(); });
}

IdleWatcher::~IdleWatcher()
{
  stop();
  close(epollFd_);
  close(wakeFd_);
}

void IdleWatcher::watch(int fd, TimePoint deadline)
{
  std::lock_guard lock(mutex_);
  deadlines_[fd] = deadline;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = fd;
  epoll_ctl(epollFd_, EPOLL_CTL_ADD, fd, &event);
}

void IdleWatcher::expireAll()
{
  expire(TimePoint::max());
}

void IdleWatcher::expire(TimePoint now)
{
  std::vector<int> expired;
  {
    std::lock_guard lock(mutex_);
    for (auto it = deadlines_.begin(); it != deadlines_.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      epoll_ctl(epollFd_, EPOLL_CTL_DEL, it->first, nullptr);
      expired.push_back(it->first);
      it = deadlines_.erase(it);
    }
  }
  for (const int fd : expired) {
    onExpired_(fd);
  }
}

void IdleWatcher::stop()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(wakeFd_, &one, sizeof(one));
  if (thread_.joinable()) {
    thread_.join();
  }
}

void IdleWatcher::run()
{
  constexpr int kMaxEvents = 128;
  constexpr int kExpiryCheckIntervalMs = 500;
  std::array<epoll_event, kMaxEvents> events;
  TimePoint nextExpiryCheckAt = SteadyClock().now();
  for (;;) {
    const int count = epoll_wait(epollFd_, events.data(), kMaxEvents, kExpiryCheckIntervalMs);
    for (int i = 0; i < count; ++i) {
      const int fd = events[i].data.fd;
      if (fd == wakeFd_) {
        continue;
      }
      {
        std::lock_guard lock(mutex_);
        if (deadlines_.erase(fd) == 0) {
          continue;
        }
        epoll_ctl(epollFd_, EPOLL_CTL_DEL, fd, nullptr);
      }
      onReadable_(fd);
    }
    {
      std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
    }
    const TimePoint now = SteadyClock().now();
    if (now >= nextExpiryCheckAt) {
      nextExpiryCheckAt = now + std::chrono::milliseconds(kExpiryCheckIntervalMs);
      expire(now);
    }
  }
}

} // namespace sycamore::transport
