#pragma once

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace sycamore::transport {

// A server on the loopback interface that answers one request with a beginning and then sends the
// same bytes until the client closes the connection. Without such bytes, it resets the connection
// after a moment, or waits for the client to end it.
class RawServer
{
public:
  enum class End
  {
    AwaitClient,
    Reset
  };

  explicit RawServer(std::string begin, std::string endless = "", End end = End::AwaitClient)
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, begin, endless, end] { run(begin, endless, end); });
  }

  ~RawServer()
  {
    thread_.join();
    close(listener_);
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Returns the number of bytes sent after the beginning.
  std::size_t sentBytes() const { return sentBytes_; }

private:
  // An end for the test if the client keeps all bytes.
  static constexpr std::size_t kMaxBytes = 64UL * 1024 * 1024;
  static constexpr useconds_t kResetDelayMicroseconds = 10'000;

  void run(const std::string& begin, const std::string& endless, End end)
  {
    const int connection = accept(listener_, nullptr, nullptr);
    std::array<char, 4096> request{};
    recv(connection, request.data(), request.size(), 0);
    send(connection, begin.data(), begin.size(), MSG_NOSIGNAL);
    while (!endless.empty() && sentBytes_ < kMaxBytes) {
      const ssize_t sent = send(connection, endless.data(), endless.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        break;
      }
      sentBytes_ += static_cast<std::size_t>(sent);
    }
    if (endless.empty()) {
      finish(connection, end);
    }
    close(connection);
  }

  static void finish(int connection, End end)
  {
    std::array<char, 4096> unread{};
    if (end == End::AwaitClient) {
      while (recv(connection, unread.data(), unread.size(), 0) > 0) {
      }
      return;
    }
    usleep(kResetDelayMicroseconds);
    const linger hard{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }

  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> sentBytes_{ 0 };
  std::thread thread_;
};

} // namespace sycamore::transport
