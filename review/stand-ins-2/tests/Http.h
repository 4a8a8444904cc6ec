#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

// A small HTTP/1.1 server and client with blocking sockets, for the stand-ins of the review.
namespace review {

using Clock = std::chrono::steady_clock;

inline std::string lowered(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// A request or an answer. The names of headers are in lower case.
struct Message
{
  std::string startLine;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(const std::string& name) const
  {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  // Words of the start line.
  std::string word(std::size_t index) const
  {
    std::size_t begin = 0;
    for (; index > 0; --index) {
      begin = startLine.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

class Socket
{
public:
  explicit Socket(int handle = -1)
    : handle_(handle)
  {
  }
  Socket(Socket&& other) noexcept
    : handle_(std::exchange(other.handle_, -1))
    , in_(std::move(other.in_))
  {
  }
  Socket& operator=(Socket&& other) noexcept
  {
    std::swap(handle_, other.handle_);
    std::swap(in_, other.in_);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket()
  {
    if (handle_ >= 0) {
      ::close(handle_);
    }
  }

  int handle() const { return handle_; }
  bool isOpen() const { return handle_ >= 0; }

  bool write(const std::string& bytes) const
  {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t count = ::send(handle_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads until the buffer has this many bytes. Returns false at the end or at the deadline.
  bool fill(std::size_t size, Clock::time_point deadline)
  {
    while (in_.size() < size) {
      const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
      pollfd entry{ handle_, POLLIN, 0 };
      if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<long>(left, 3600000))) <= 0) {
        return false;
      }
      char chunk[16384];
      const ssize_t count = ::recv(handle_, chunk, sizeof chunk, 0);
      if (count <= 0) {
        return false;
      }
      in_.append(chunk, static_cast<std::size_t>(count));
    }
    return true;
  }

  // Reads a message whose body has a length.
  bool read(Message& message, Clock::time_point deadline)
  {
    std::size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(in_.size() + 1, deadline)) {
        return false;
      }
    }
    message = {};
    std::size_t at = in_.find("\r\n");
    message.startLine = in_.substr(0, at);
    while (at < end) {
      at += 2;
      const std::size_t next = in_.find("\r\n", at);
      const std::string line = in_.substr(at, next - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[lowered(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
      }
      at = next;
    }
    const auto size = static_cast<std::size_t>(
      std::strtoull(message.header("content-length").c_str(), nullptr, 10));
    if (!fill(end + 4 + size, deadline)) {
      return false;
    }
    message.body = in_.substr(end + 4, size);
    in_.erase(0, end + 4 + size);
    return true;
  }

private:
  int handle_;
  std::string in_;
};

inline sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline Socket connectTo(const std::string& ip, std::uint16_t port)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = addressOf(ip, port);
  if (::connect(socket.handle(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    return Socket();
  }
  const int on = 1;
  ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

// Binds to a free port, or to the given one.
inline Socket listenAt(const std::string& ip, std::uint16_t& port)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = addressOf(ip, port);
  socklen_t size = sizeof address;
  if (::bind(socket.handle(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      ::listen(socket.handle(), 512) != 0) {
    return Socket();
  }
  ::getsockname(socket.handle(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

inline std::uint16_t freePort(const std::string& ip)
{
  std::uint16_t port = 0;
  const Socket socket = listenAt(ip, port);
  return port;
}

// Serves each connection in a thread of its own until the process ends. The handler gets the number
// of the connection and returns the whole answer: empty if there is none, nothing if the connection
// is to be closed.
class Server
{
public:
  using Handler = std::function<std::optional<std::string>(const Message&, int)>;

  Server(const std::string& ip, Handler handler)
    : state_(std::make_shared<State>())
  {
    state_->handler = std::move(handler);
    state_->listener = listenAt(ip, port_);
    std::thread([state = state_] {
      for (;;) {
        const int handle = ::accept4(state->listener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
          return;
        }
        std::thread([state, handle] { serve(*state, Socket(handle)); }).detach();
      }
    }).detach();
  }

  std::uint16_t port() const { return port_; }

private:
  struct State
  {
    Socket listener;
    Handler handler;
  };

  static void serve(const State& state, Socket socket)
  {
    const int on = 1;
    ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    static std::atomic<int> connections{ 0 };
    const int number = ++connections;
    Message request;
    while (socket.read(request, Clock::now() + std::chrono::minutes(5))) {
      const auto answer = state.handler(request, number);
      if (!answer || !socket.write(*answer)) {
        return;
      }
    }
  }

  std::shared_ptr<State> state_;
  std::uint16_t port_ = 0;
};

inline std::string answerText(int status, const std::string& headers, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
