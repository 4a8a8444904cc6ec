#include <transport/HttpServer.h>

#include "IdleWatcher.h"
#include "SocketStream.h"
#include "WorkerPool.h"

#include <base/HeadCheck.h>
#include <transport/TransportError.h>

#include <array>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <httplib.h>
#include <map>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamore::transport {

using base::SteadyClock;
using base::TimePoint;

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusInternalError = 500;
// After an answer that was sent before the complete body had arrived: the time for which the rest
// of the body is read, and the longest pause of the sender meanwhile.
constexpr std::chrono::milliseconds kLingerTimeout{ 5000 };
constexpr std::chrono::milliseconds kLingerIdleTimeout{ 500 };

// State of the connection that the current worker thread serves. cpp-httplib doesn't pass it to the
// handler.
struct CurrentConnection
{
  SocketStream* stream = nullptr;
  bool closeAfterResponse = false;
  // The request was answered before its complete body had been read.
  bool bodyUnread = false;
  bool draining = false;
};

thread_local CurrentConnection* currentConnection = nullptr;

const char* reasonPhrase(int status)
{
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::optional<std::size_t> parseLength(const std::string& text)
{
  std::size_t length = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), length);
  if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return length;
}

// Returns why the framing of a request is ambiguous or invalid, or nothing. Guards against request
// smuggling: if two hops frame a request differently, a part of its body is read as another
// request.
std::optional<std::string> findFramingFault(const httplib::Request& request)
{
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings = request.get_header_value_count("Transfer-Encoding");
  if (lengths > 1 || encodings > 1) {
    return "more than one body length or transfer encoding";
  }
  if (lengths == 1 && encodings == 1) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (lengths == 1 && !parseLength(request.get_header_value("Content-Length"))) {
    return "Content-Length is not a number";
  }
  if (encodings == 1 && request.get_header_value("Transfer-Encoding") != "chunked") {
    return "unknown Transfer-Encoding";
  }
  const bool hasBody =
    encodings == 1 || (lengths == 1 && request.get_header_value("Content-Length") != "0");
  if (hasBody && request.method != "POST" && request.method != "PUT" && request.method != "PATCH" &&
      request.method != "DELETE") {
    return "a body is not allowed with this method";
  }
  return std::nullopt;
}

// Restores the header values as they were sent. cpp-httplib decodes %XX in header values on
// receipt, so that a key would change at each hop.
void restoreHeaderValues(httplib::Request& request, const std::string& rawHead)
{
  if (rawHead.find('%') == std::string::npos) {
    return;
  }
  std::istringstream lines(rawHead);
  std::string line;
  std::getline(lines, line);
  std::map<std::string, std::size_t> seen;
  while (std::getline(lines, line) && line != "\r") {
    const auto colon = line.find(':');
    const auto begin = line.find_first_not_of(" \t", colon + 1);
    const auto end = line.find_last_not_of(" \t\r");
    if (colon == std::string::npos || begin == std::string::npos) {
      continue;
    }
    const std::string name = line.substr(0, colon);
    const std::string value = line.substr(begin, end - begin + 1);
    const std::size_t index = seen[name]++;
    if (value.find('%') == std::string::npos) {
      continue;
    }
    auto [first, last] = request.headers.equal_range(name);
    for (std::size_t i = 0; first != last; ++first, ++i) {
      if (i == index) {
        first->second = value;
      }
    }
  }
}

class RequestView : public ServerRequest
{
public:
  RequestView(const httplib::Request& request, const httplib::ContentReader* reader)
    : request_(request)
    , reader_(reader)
  {
    if (reader_ == nullptr) {
      bodyLength_ = 0;
    } else if (request_.has_header("Content-Length")) {
      bodyLength_ = parseLength(request_.get_header_value("Content-Length"));
    } else if (!request_.has_header("Transfer-Encoding")) {
      bodyLength_ = 0;
    }
  }

  const std::string& method() const override { return request_.method; }
  const std::string& path() const override { return request_.path; }
  const std::string& target() const override { return request_.target; }

  std::optional<std::string> header(const std::string& name) const override
  {
    if (!request_.has_header(name)) {
      return std::nullopt;
    }
    return request_.get_header_value(name);
  }

  HeaderList headers() const override
  {
    return HeaderList(request_.headers.begin(), request_.headers.end());
  }

  std::optional<std::string> parameter(const std::string& name) const override
  {
    if (!request_.has_param(name)) {
      return std::nullopt;
    }
    return request_.get_param_value(name);
  }

  std::optional<std::size_t> bodyLength() const override { return bodyLength_; }

  bool readBody(const BodyWriter& receive) override
  {
    if (isBodyless()) {
      bodyComplete_ = true;
      return true;
    }
    if (bodyReadStarted_) {
      // A second read would wait for bytes that never arrive, or read the next request as the body.
      return bodyComplete_;
    }
    bodyReadStarted_ = true;
    std::size_t received = 0;
    const bool complete = (*reader_)([&](const char* data, std::size_t size) {
      received += size;
      return receive(std::string_view(data, size));
    });
    bodyComplete_ = complete && (!bodyLength_ || received == *bodyLength_);
    return bodyComplete_;
  }

  std::optional<std::string> readBody(std::size_t limit) override
  {
    std::string body;
    const bool complete = readBody([&](std::string_view part) {
      body.append(part);
      return body.size() <= limit;
    });
    if (!complete) {
      return std::nullopt;
    }
    return body;
  }

  std::function<bool()> senderProbe() const override
  {
    return [stream = currentConnection->stream] { return stream->hasPeerClosed(); };
  }

  // Returns whether bytes of the body may not have been read from the connection.
  bool hasUnreadBody() const { return !isBodyless() && !bodyComplete_; }

private:
  bool isBodyless() const { return reader_ == nullptr || (bodyLength_ && *bodyLength_ == 0); }

  const httplib::Request& request_;
  const httplib::ContentReader* reader_;
  std::optional<std::size_t> bodyLength_;
  bool bodyReadStarted_ = false;
  bool bodyComplete_ = false;
};

class ResponseWriter : public ServerResponse
{
public:
  explicit ResponseWriter(httplib::Response& response)
    : response_(response)
  {
  }

  void setHeader(const std::string& name, const std::string& value) override
  {
    headers_.emplace_back(name, value);
  }

  void send(int status, std::string_view body, const std::string& contentType) override
  {
    setHeader("Content-Type", contentType);
    if (begin(status, body.size()) && write(body)) {
      end();
    }
  }

  bool begin(int status, std::optional<std::size_t> length) override
  {
    begun_ = true;
    chunked_ = !length;
    remaining_ = length.value_or(0);
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto& [name, value] : headers_) {
      head += name + ": " + value + "\r\n";
    }
    head += chunked_ ? "Transfer-Encoding: chunked\r\n"
                     : "Content-Length: " + std::to_string(*length) + "\r\n";
    if (currentConnection->closeAfterResponse || currentConnection->draining) {
      head += "Connection: close\r\n";
    }
    head += "\r\n";
    // cpp-httplib writes an answer of its own after the handler returns, which must be discarded.
    response_.status = status;
    currentConnection->stream->setDiscardWrites(true);
    // The head of a short answer of known length is sent together with the body in one write.
    pendingHead_ = std::move(head);
    if (chunked_ || remaining_ > kCoalesceBytes) {
      return flushHead();
    }
    return true;
  }

  bool write(std::string_view part) override
  {
    if (part.empty()) {
      return true;
    }
    if (!chunked_) {
      if (part.size() > remaining_) {
        return fail();
      }
      remaining_ -= part.size();
      pendingHead_.append(part);
      return remaining_ == 0 || pendingHead_.size() > kCoalesceBytes ? flushHead() : true;
    }
    char size[24];
    const int digits = snprintf(size, sizeof(size), "%zx\r\n", part.size());
    std::string chunk(size, static_cast<std::size_t>(digits));
    chunk.append(part);
    chunk.append("\r\n");
    return currentConnection->stream->writeAll(chunk) || fail();
  }

  bool end() override
  {
    if (failed_ || (!chunked_ && remaining_ != 0)) {
      return fail();
    }
    const bool written = chunked_ ? currentConnection->stream->writeAll("0\r\n\r\n") : flushHead();
    ended_ = written;
    return written || fail();
  }

  bool isBegun() const override { return begun_; }

  void closeConnection() override { currentConnection->closeAfterResponse = true; }

  // Returns whether the answer was written completely.
  bool isEnded() const { return ended_; }

private:
  static constexpr std::size_t kCoalesceBytes = 16384;

  bool flushHead()
  {
    const std::string pending = std::move(pendingHead_);
    pendingHead_.clear();
    return pending.empty() || currentConnection->stream->writeAll(pending) || fail();
  }

  bool fail()
  {
    failed_ = true;
    currentConnection->closeAfterResponse = true;
    return false;
  }

  httplib::Response& response_;
  HeaderList headers_;
  std::string pendingHead_;
  std::size_t remaining_ = 0;
  bool chunked_ = false;
  bool begun_ = false;
  bool failed_ = false;
  bool ended_ = false;
};

// Passes the tasks of cpp-httplib to the server's pool. cpp-httplib deletes its task queue when it
// stops listening, but the watcher may still call the pool then.
class PoolHandle : public httplib::TaskQueue
{
public:
  explicit PoolHandle(WorkerPool& pool)
    : pool_(pool)
  {
  }

  // cpp-httplib adds no task after it has called shutdown().
  void enqueue(std::function<void()> task) override { pool_.tryEnqueue(std::move(task)); }
  void shutdown() override { pool_.shutdown(); }

private:
  WorkerPool& pool_;
};

} // namespace

class HttpServer::Impl : public httplib::Server
{
public:
  Impl(ServerLimits limits, ServerHandler handler)
    : limits_(limits)
    , handler_(std::move(handler))
    , pool_(limits.maxConcurrent)
    , watcher_([this](int fd) { onReadable(fd); }, [this](int fd) { closeConnection(fd); })
  {
    new_task_queue = [this] { return new PoolHandle(pool_); };
    const std::string anyPath = R"(.*)";
    const auto handleBodyless = [this](const httplib::Request& request,
                                       httplib::Response& response) {
      handle(request, response, nullptr);
    };
    const auto handleWithBody = [this](const httplib::Request& request,
                                       httplib::Response& response,
                                       const httplib::ContentReader& reader) {
      handle(request, response, &reader);
    };
    Get(anyPath, handleBodyless);
    Options(anyPath, handleBodyless);
    Post(anyPath, handleWithBody);
    Put(anyPath, handleWithBody);
    Patch(anyPath, handleWithBody);
    Delete(anyPath, handleWithBody);
    set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
      return refuseInvalidFraming(request, response);
    });
  }

  HostPort bindAddress(const HostPort& address)
  {
    HostPort bound = address;
    if (address.port == 0) {
      bound.port = bind_to_any_port(address.host);
    } else if (!bind_to_port(address.host, address.port)) {
      bound.port = -1;
    }
    if (bound.port <= 0) {
      throw TransportError("can't bind " + address.toString());
    }
    // cpp-httplib listens with a backlog of 5, which loses connections during a burst.
    constexpr int kBacklog = 1024;
    ::listen(svr_sock_, kBacklog);
    return bound;
  }

  void startServing()
  {
    accepting_ = true;
    thread_ = std::thread([this] {
      listen_after_bind();
      std::lock_guard lock(stopMutex_);
      accepting_ = false;
      stoppedCondition_.notify_all();
    });
  }

  bool stopServing(TimePoint deadline)
  {
    draining_ = true;
    closing_ = true;
    if (thread_.joinable()) {
      while (accepting_ && !is_running()) {
        std::this_thread::yield();
      }
      stop();
      watcher_.expireAll();
      const bool graceful = waitUntilStopped(deadline);
      if (!graceful) {
        shutDownConnections();
      }
      thread_.join();
      watcher_.stop();
      watcher_.expireAll();
      return graceful;
    }
    return true;
  }

  std::atomic<bool> draining_{ false };
  std::atomic<std::size_t> inFlight_{ 0 };
  std::atomic<std::size_t> connections_{ 0 };

  ~Impl() override
  {
    stopServing(SteadyClock().now());
    for (const auto& [fd, connection] : open_) {
      ::close(fd);
    }
  }

private:
  struct Connection
  {
    std::unique_ptr<SocketStream> stream;
  };

  bool waitUntilStopped(TimePoint deadline)
  {
    std::unique_lock lock(stopMutex_);
    while (accepting_) {
      const auto remaining = deadline - SteadyClock().now();
      if (remaining <= base::Duration::zero()) {
        return false;
      }
      stoppedCondition_.wait_for(lock, remaining);
    }
    return true;
  }

  void shutDownConnections()
  {
    std::lock_guard lock(connectionsMutex_);
    for (const auto& [fd, connection] : open_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

  // Called by cpp-httplib on a worker thread for each accepted connection.
  bool process_and_close_socket(socket_t fd) override
  {
    constexpr int kOn = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
    if (++connections_ > limits_.maxConnections) {
      --connections_;
      ::close(fd);
      return false;
    }
    auto stream = std::make_unique<SocketStream>(fd, limits_.ioTimeout);
    {
      std::lock_guard lock(connectionsMutex_);
      open_[fd] = Connection{ std::move(stream) };
    }
    watchForRequest(fd);
    return true;
  }

  void watchForRequest(int fd)
  {
    if (closing_) {
      closeConnection(fd);
      return;
    }
    watcher_.watch(fd, SteadyClock().now() + limits_.keepAliveTimeout);
  }

  void onReadable(int fd)
  {
    if (!pool_.tryEnqueue([this, fd] { serve(fd); })) {
      closeConnection(fd);
    }
  }

  SocketStream* streamOf(int fd)
  {
    std::lock_guard lock(connectionsMutex_);
    const auto found = open_.find(fd);
    return found == open_.end() ? nullptr : found->second.stream.get();
  }

  void closeConnection(int fd, bool bodyUnread = false)
  {
    std::unique_ptr<SocketStream> stream;
    {
      std::lock_guard lock(connectionsMutex_);
      const auto found = open_.find(fd);
      if (found == open_.end()) {
        return;
      }
      stream = std::move(found->second.stream);
      open_.erase(found);
    }
    --connections_;
    ::shutdown(fd, SHUT_WR);
    discardInput(fd, bodyUnread);
    ::close(fd);
  }

  // Reads and discards input before a socket is closed. Closing a socket with unread input resets
  // the connection, and the reset can overtake the answer: a client that is still sending a long
  // body would then not receive a refusal. The time is bounded, since the client may keep sending
  // or keep the connection open.
  static void discardInput(int fd, bool bodyUnread)
  {
    const TimePoint deadline = SteadyClock().now() + kLingerTimeout;
    std::array<char, 65536> discarded;
    while (true) {
      const ssize_t count = recv(fd, discarded.data(), discarded.size(), MSG_DONTWAIT);
      if (count > 0) {
        continue;
      }
      const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyClock().now());
      if (count == 0 || (errno != EAGAIN && errno != EINTR) || !bodyUnread || left.count() <= 0) {
        return;
      }
      pollfd readable{ fd, POLLIN, 0 };
      if (poll(&readable, 1, static_cast<int>(std::min(left, kLingerIdleTimeout).count())) == 0) {
        return;
      }
    }
  }

  // Serves the requests that have arrived on a connection, then watches it for the next one.
  void serve(int fd)
  {
    SocketStream* stream = streamOf(fd);
    if (stream == nullptr) {
      return;
    }
    ServeResult result;
    do {
      result = serveOne(*stream);
    } while (result.keep && stream->hasBufferedInput());
    if (result.keep) {
      watchForRequest(fd);
    } else {
      closeConnection(fd, result.bodyUnread);
    }
  }

  struct ServeResult
  {
    bool keep = true;
    bool bodyUnread = false;
  };

  ServeResult serveOne(SocketStream& stream)
  {
    CurrentConnection current;
    current.stream = &stream;
    current.draining = draining_;
    currentConnection = &current;
    stream.setHeadDeadline(SteadyClock().now() + limits_.headTimeout);
    bool closeRequested = false;
    // After a head that can't be parsed, the position of the next request in the stream is unknown.
    bool headParsed = false;
    const bool processed =
      process_request(stream, current.draining, closeRequested, [&](httplib::Request& request) {
        stream.clearHeadDeadline();
        restoreHeaderValues(request, stream.rawHead());
        headParsed = true;
      });
    stream.setDiscardWrites(false);
    currentConnection = nullptr;
    if (!headParsed && stream.isHeadTooLarge()) {
      stream.writeAll("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
                      "Connection: close\r\n\r\n");
    }
    const bool keep = processed && headParsed && !closeRequested && !current.closeAfterResponse &&
                      !current.draining;
    return { keep, current.bodyUnread };
  }

  HandlerResponse refuseInvalidFraming(const httplib::Request& request, httplib::Response& response)
  {
    auto fault = findFramingFault(request);
    if (base::findHeadFault(currentConnection->stream->rawHead()) != base::HeadFault::None) {
      fault = "a header line is malformed, continued or contradicts another one";
    }
    if (!fault) {
      return HandlerResponse::Unhandled;
    }
    ResponseWriter writer(response);
    writer.closeConnection();
    writer.send(kStatusBadRequest, *fault + "\n", "text/plain");
    return HandlerResponse::Handled;
  }

  void handle(const httplib::Request& request,
              httplib::Response& response,
              const httplib::ContentReader* reader)
  {
    ++inFlight_;
    RequestView view(request, reader);
    ResponseWriter writer(response);
    try {
      handler_(view, writer);
    } catch (const std::exception& error) {
      if (!writer.isBegun()) {
        writer.closeConnection();
        writer.send(kStatusInternalError, std::string(error.what()) + "\n", "text/plain");
      }
    }
    if (!writer.isBegun()) {
      writer.closeConnection();
      writer.send(kStatusInternalError, "the request handler sent no answer\n", "text/plain");
    }
    currentConnection->bodyUnread = view.hasUnreadBody();
    if (!writer.isEnded() || currentConnection->bodyUnread) {
      // Otherwise the rest of the body would be read as the next request, and the client would take
      // a truncated answer for a complete one.
      currentConnection->closeAfterResponse = true;
    }
    --inFlight_;
  }

  const ServerLimits limits_;
  const ServerHandler handler_;
  WorkerPool pool_;
  std::mutex connectionsMutex_;
  std::unordered_map<int, Connection> open_;
  std::atomic<bool> closing_{ false };
  std::atomic<bool> accepting_{ false };
  std::mutex stopMutex_;
  std::condition_variable stoppedCondition_;
  IdleWatcher watcher_;
  std::thread thread_;
};

HttpServer::HttpServer(ServerLimits limits, ServerHandler handler)
  : impl_(std::make_unique<Impl>(limits, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

HostPort HttpServer::bind(const HostPort& address)
{
  return impl_->bindAddress(address);
}

void HttpServer::start()
{
  impl_->startServing();
}

void HttpServer::beginDrain()
{
  impl_->draining_ = true;
}

std::size_t HttpServer::inFlight() const
{
  return impl_->inFlight_;
}

std::size_t HttpServer::openConnections() const
{
  return impl_->connections_;
}

bool HttpServer::stop(TimePoint deadline)
{
  return impl_->stopServing(deadline);
}

} // namespace sycamore::transport
