#pragma once

#include <base/Time.h>
#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <functional>
#include <linux/sockios.h>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sycamore::transport::testing {

// A server on the loopback interface that answers each request with the bytes that its script
// returns. It can also send bytes that no request asked for. Request bodies need a Content-Length.
class ScriptedServer
{
public:
  // A request with its head and body, and the number of its connection, counted from 0.
  struct Received
  {
    std::size_t connection = 0;
    std::string text;
  };
  using Script = std::function<std::string(const Received&)>;

  explicit ScriptedServer(Script script)
    : script_(std::move(script))
    , listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr int kBacklog = 16;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, kBacklog) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptAll(); });
  }

  ~ScriptedServer()
  {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (const int connection : connections_) {
      shutdown(connection, SHUT_RDWR);
    }
    for (std::thread& reader : readers_) {
      reader.join();
    }
    for (const int connection : connections_) {
      close(connection);
    }
    close(listener_);
  }

  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  // Returns a complete answer with a body of plain text. Each line of `fields` ends with "\r\n".
  static std::string answer(int status, const std::string& body, const std::string& fields = "")
  {
    return "HTTP/1.1 " + std::to_string(status) + " Scripted\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  std::vector<Received> received() const
  {
    const std::lock_guard lock(mutex_);
    return received_;
  }

  // Sends bytes on an open connection. Returns whether the client's system has received them.
  bool sendUnasked(std::size_t connection, const std::string& bytes)
  {
    constexpr std::chrono::seconds kTimeout{ 10 };
    int fd = -1;
    {
      const std::lock_guard lock(mutex_);
      fd = connections_.at(connection);
    }
    sendAll(fd, bytes);
    const base::TimePoint deadline = base::SteadyClock().now() + kTimeout;
    int unacknowledged = 0;
    while (ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0) {
      if (base::SteadyClock().now() >= deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return unacknowledged == 0;
  }

private:
  static void sendAll(int fd, const std::string& bytes)
  {
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  void acceptAll()
  {
    for (int fd = 0; (fd = accept(listener_, nullptr, nullptr)) >= 0;) {
      const std::lock_guard lock(mutex_);
      const std::size_t connection = connections_.size();
      connections_.push_back(fd);
      readers_.emplace_back([this, fd, connection] { serve(fd, connection); });
    }
  }

  void serve(int fd, std::size_t connection)
  {
    std::string unread;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = recv(fd, buffer.data(), buffer.size(), 0)) > 0;) {
      unread.append(buffer.data(), static_cast<std::size_t>(size));
      for (std::size_t length = 0; (length = requestLength(unread)) > 0;) {
        const Received request{ connection, unread.substr(0, length) };
        unread.erase(0, length);
        {
          const std::lock_guard lock(mutex_);
          received_.push_back(request);
        }
        sendAll(fd, script_(request));
      }
    }
  }

  // Returns the length of the first request in bytes, or 0 if it isn't complete.
  static std::size_t requestLength(const std::string& bytes)
  {
    static const std::string kLengthField = "Content-Length: ";
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
      return 0;
    }
    std::size_t length = headEnd + 4;
    const std::size_t field = bytes.find(kLengthField);
    if (field < headEnd) {
      length += std::stoul(bytes.substr(field + kLengthField.size()));
    }
    return length <= bytes.size() ? length : 0;
  }

  const Script script_;
  const int listener_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::vector<int> connections_;
  std::vector<Received> received_;
  std::vector<std::thread> readers_;
  std::thread acceptor_;
};

} // namespace sycamore::transport::testing
