#pragma once

#include <doctest/doctest.h>
#include <transport/HostPort.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamore::router::testing {

// A raw connection, for callers that send a truncated request or disconnect.
class RawCaller
{
public:
  explicit RawCaller(const std::string& address)
    : fd_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(transport::HostPort::parse(address).port));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval timeout{ 10, 0 };
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    REQUIRE(::connect(fd_, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
  }
  ~RawCaller() { ::close(fd_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void send(const std::string& bytes) { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

  void endSending() { ::shutdown(fd_, SHUT_WR); }

  // Reads until the other side closes the connection.
  std::string readAll()
  {
    std::string all;
    char buffer[4096];
    for (ssize_t n = 0; (n = ::recv(fd_, buffer, sizeof(buffer), 0)) > 0;) {
      all.append(buffer, static_cast<std::size_t>(n));
    }
    return all;
  }

private:
  int fd_;
};

} // namespace sycamore::router::testing
