#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline void sleepFor(double seconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline Clock::time_point after(double seconds)
{
  return Clock::now() +
         std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

inline std::int64_t unixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Writes one line of JSON for each event to record.txt. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& path)
    : file_(path, std::ios::trunc)
  {
  }

  double now() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

  void line(const std::string& what, Json fields = Json::object())
  {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    file_ << time << what << ' ' << fields.dump(-1, ' ', false, Json::error_handler_t::replace)
          << std::endl;
  }

private:
  std::ofstream file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

// A message of HTTP/1.1 with a body of known length.
struct Message
{
  std::string firstLine;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(std::string name) const
  {
    for (char& c : name) {
      c = static_cast<char>(std::tolower(c));
    }
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  bool has(const std::string& name) const { return !header(name).empty(); }
  std::string word(std::size_t index) const
  {
    std::size_t begin = 0;
    for (std::size_t i = 0; i < index; ++i) {
      const std::size_t space = firstLine.find(' ', begin);
      if (space == std::string::npos) {
        return "";
      }
      begin = space + 1;
    }
    return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
  }
};

// A connected socket, used by one thread; reset() may be called by another one.
class Channel
{
public:
  explicit Channel(int fd)
    : fd_(fd)
  {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Channel() { close(fd_); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  int fd() const { return fd_; }

  bool write(const std::string& bytes) const
  {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Returns whether the peer has closed or reset the connection.
  bool peerHasLeft() const
  {
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Reads one message; returns false if the connection ended or `until` has passed before it was
  // complete.
  bool read(Message& message, Clock::time_point until = Clock::time_point::max())
  {
    std::size_t end = std::string::npos;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(until)) {
        return false;
      }
    }
    message = {};
    const std::string head = in_.substr(0, end);
    std::size_t at = head.find("\r\n");
    message.firstLine = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
        head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& c : name) {
          c = static_cast<char>(std::tolower(c));
        }
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers[name] = line.substr(value);
      }
      at = next;
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    in_.erase(0, end + 4);
    while (in_.size() < size) {
      if (!receive(until)) {
        return false;
      }
    }
    message.body = in_.substr(0, size);
    in_.erase(0, size);
    return true;
  }

  // How the connection ended: "closed", "reset", or "" if it is still open.
  const std::string& end() const { return end_; }

  // Ends the connection with a reset, as the end of a process does.
  void reset() const
  {
    const linger hard{ 1, 0 };
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    shutdown(fd_, SHUT_RDWR);
  }

private:
  bool receive(Clock::time_point until)
  {
    pollfd waiting{ fd_, POLLIN, 0 };
    for (;;) {
      int timeout = 200;
      if (until != Clock::time_point::max()) {
        const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (left <= 0) {
          return false;
        }
        timeout = static_cast<int>(std::min<std::int64_t>(left, 200));
      }
      const int ready = poll(&waiting, 1, timeout);
      if (ready > 0) {
        break;
      }
    }
    char chunk[16384];
    const ssize_t count = recv(fd_, chunk, sizeof chunk, 0);
    if (count <= 0) {
      end_ = count == 0 ? "closed" : "reset";
      return false;
    }
    in_.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string in_;
  std::string end_;
};

inline sockaddr_in addressOf(const std::string& ip, int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::shared_ptr<Channel> connectTo(const std::string& ip, int port)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Channel>(fd);
}

// Returns a port that is free for this kind of socket at all the addresses.
inline int freePort(const std::vector<std::string>& ips, int type)
{
  for (int attempt = 0; attempt < 50; ++attempt) {
    int port = 0;
    bool free = true;
    std::vector<int> fds;
    for (const std::string& ip : ips) {
      const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
      fds.push_back(fd);
      sockaddr_in address = addressOf(ip, port);
      socklen_t size = sizeof address;
      free = free && bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
             getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
      port = ntohs(address.sin_port);
    }
    for (const int fd : fds) {
      close(fd);
    }
    if (free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

// Accepts connections and serves each in a thread of its own until it is stopped.
class Listening
{
public:
  using Serve = std::function<void(Channel&)>;

  Listening(const std::string& ip, int port, Serve serve)
    : serve_(std::move(serve))
  {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    socklen_t size = sizeof address;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 256) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("can't listen on " + ip);
    }
    port_ = ntohs(address.sin_port);
    accepting_ = std::thread([this] { accept(); });
  }
  ~Listening() { stop(); }

  int port() const { return port_; }

  // Closes the listener and resets all connections, as the end of a process does.
  void stop()
  {
    if (stopped_.exchange(true)) {
      return;
    }
    accepting_.join();
    close(fd_);
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& channel : channels_) {
        channel->reset();
      }
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

private:
  void accept()
  {
    pollfd waiting{ fd_, POLLIN, 0 };
    while (!stopped_) {
      if (poll(&waiting, 1, 10) <= 0) {
        continue;
      }
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      auto channel = std::make_shared<Channel>(fd);
      const std::lock_guard lock(mutex_);
      channels_.insert(channel);
      threads_.emplace_back([this, channel] {
        serve_(*channel);
        const std::lock_guard ended(mutex_);
        channels_.erase(channel);
      });
    }
  }

  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{ false };
  std::thread accepting_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Channel>> channels_;
  std::vector<std::thread> threads_;
};

inline std::string answerText(int status,
                              const std::string& body,
                              const std::string& headers = "",
                              const std::string& reason = "X")
{
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
