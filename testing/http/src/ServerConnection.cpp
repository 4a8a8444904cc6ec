#include <test_http/ServerConnection.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <test_http/FreezeGate.h>

namespace sycamore::test_http {

namespace {

// The connection is closed if the peer sends or accepts nothing for this long within a message.
constexpr int kStallTimeoutMs = 30000;

void toIpAndPort(const sockaddr_in& address, std::string& ip, int& port)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

} // namespace

ServerConnection::ServerConnection(socket_t socket, const FreezeGate& gate, int stopFd)
  : socket_(socket)
  , gate_(gate)
  , stopFd_(stopFd)
{
}

bool ServerConnection::waitForEvents(short events, int timeoutMs) const
{
  while (true) {
    std::array<pollfd, 2> entries{ { { socket_, events, 0 }, { stopFd_, POLLIN, 0 } } };
    const int ready = poll(entries.data(), entries.size(), timeoutMs);
    const bool stopping = entries[1].revents != 0;
    if (ready > 0) {
      return !stopping;
    }
    // A blackholed connection stays open until its peer closes it.
    if ((ready == 0 && !blackholed_) || (ready < 0 && errno != EINTR)) {
      return false;
    }
  }
}

bool ServerConnection::waitForRequest(int idleSeconds)
{
  return bufferBegin_ < bufferEnd_ || waitForEvents(POLLIN, idleSeconds * 1000);
}

bool ServerConnection::is_readable() const
{
  return bufferBegin_ < bufferEnd_ || waitForEvents(POLLIN, kStallTimeoutMs);
}

bool ServerConnection::is_writable() const
{
  return !dropped_ && (blackholed_ || waitForEvents(POLLOUT, kStallTimeoutMs));
}

void ServerConnection::waitAtGate() const
{
  if (!exempt_) {
    gate_.waitWhileFrozen();
  }
}

ssize_t ServerConnection::receive(char* data, std::size_t size)
{
  while (true) {
    if (!waitForEvents(POLLIN, kStallTimeoutMs)) {
      return -1;
    }
    waitAtGate();
    const ssize_t count = recv(socket_, data, size, 0);
    if (count <= 0 || !blackholed_) {
      return count;
    }
  }
}

ssize_t ServerConnection::read(char* data, std::size_t size)
{
  if (bufferBegin_ == bufferEnd_) {
    if (size >= buffer_.size()) {
      return receive(data, size);
    }
    const ssize_t count = receive(buffer_.data(), buffer_.size());
    if (count <= 0) {
      return count;
    }
    bufferBegin_ = 0;
    bufferEnd_ = static_cast<std::size_t>(count);
  }
  const std::size_t count = std::min(size, bufferEnd_ - bufferBegin_);
  std::memcpy(data, buffer_.data() + bufferBegin_, count);
  bufferBegin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t ServerConnection::write(const char* data, std::size_t size)
{
  waitAtGate();
  if (blackholed_) {
    return static_cast<ssize_t>(size);
  }
  if (!is_writable()) {
    return -1;
  }
  return send(socket_, data, size, MSG_NOSIGNAL);
}

void ServerConnection::get_remote_ip_and_port(std::string& ip, int& port) const
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  toIpAndPort(address, ip, port);
}

void ServerConnection::get_local_ip_and_port(std::string& ip, int& port) const
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  toIpAndPort(address, ip, port);
}

} // namespace sycamore::test_http
