#include "SocketStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace sycamore::transport {

using base::Duration;
using base::SteadyClock;
using base::TimePoint;

namespace {

using AddressFunction = int (*)(int, sockaddr*, socklen_t*);

void readAddress(AddressFunction function, int fd, std::string& ip, int& port)
{
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (function(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    return;
  }
  char text[INET6_ADDRSTRLEN] = {};
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
    port = ntohs(v4->sin_port);
  } else {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
    port = ntohs(v6->sin6_port);
  }
  ip = text;
}

} // namespace

SocketStream::SocketStream(int fd, Duration ioTimeout)
  : fd_(fd)
  , ioTimeout_(ioTimeout)
{
}

void SocketStream::setHeadDeadline(TimePoint deadline)
{
  headDeadline_ = deadline;
  readingHead_ = true;
  headBytes_ = 0;
  rawHead_.clear();
}

void SocketStream::clearHeadDeadline()
{
  headDeadline_ = TimePoint::max();
  readingHead_ = false;
}

bool SocketStream::waitFor(short events, TimePoint deadline) const
{
  for (;;) {
    const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyClock().now());
    pollfd entry{ fd_, events, 0 };
    const int ready = poll(&entry, 1, static_cast<int>(std::max<long>(0, remaining.count())));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

bool SocketStream::is_readable() const
{
  if (hasBufferedInput()) {
    return true;
  }
  return waitFor(POLLIN, std::min(headDeadline_, SteadyClock().now() + ioTimeout_));
}

bool SocketStream::is_writable() const
{
  return discardWrites_ || waitFor(POLLOUT, SteadyClock().now() + ioTimeout_);
}

bool SocketStream::fill()
{
  if (!is_readable()) {
    return false;
  }
  ssize_t received = 0;
  do {
    received = recv(fd_, buffer_.data(), buffer_.size(), 0);
  } while (received < 0 && errno == EINTR);
  if (received <= 0) {
    return false;
  }
  bufferBegin_ = 0;
  bufferEnd_ = static_cast<std::size_t>(received);
  return true;
}

ssize_t SocketStream::read(char* data, std::size_t size)
{
  if (!hasBufferedInput() && !fill()) {
    return -1;
  }
  const std::size_t count = std::min(size, bufferEnd_ - bufferBegin_);
  if (readingHead_) {
    headBytes_ += count;
    if (isHeadTooLarge()) {
      return -1;
    }
    rawHead_.append(buffer_.data() + bufferBegin_, count);
  }
  const bool isWithinLine = size == 1 && buffer_[bufferBegin_] != '\n';
  lineBytes_ = isWithinLine ? lineBytes_ + 1 : 0;
  if (lineBytes_ > kMaxHeadBytes) {
    return -1;
  }
  std::memcpy(data, buffer_.data() + bufferBegin_, count);
  bufferBegin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, std::size_t size)
{
  if (discardWrites_) {
    return static_cast<ssize_t>(size);
  }
  return writeAll(std::string_view(data, size)) ? static_cast<ssize_t>(size) : -1;
}

bool SocketStream::writeAll(std::string_view data)
{
  while (!data.empty()) {
    if (!waitFor(POLLOUT, SteadyClock().now() + ioTimeout_)) {
      return false;
    }
    const ssize_t sent = send(fd_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (errno == EINTR || errno == EAGAIN) {
        continue;
      }
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool SocketStream::hasPeerClosed() const
{
  pollfd entry{ fd_, POLLRDHUP, 0 };
  return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
  readAddress(getpeername, fd_, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const
{
  readAddress(getsockname, fd_, ip, port);
}

} // namespace sycamore::transport
