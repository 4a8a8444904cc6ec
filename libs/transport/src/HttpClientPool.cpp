#include <transport/HttpClientPool.h>

#include <transport/BoundedHttpClient.h>
#include <transport/HostPort.h>
#include <transport/TransportError.h>

#include <algorithm>
#include <atomic>
#include <list>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>

namespace sycamore::transport {

using base::Duration;
using base::SteadyClock;
using base::TimePoint;

namespace {

// Added to socket timeouts, so that a wait that times out ends after the deadline.
constexpr std::chrono::milliseconds kTimeoutMargin{ 1 };

struct Connection
{
  std::unique_ptr<BoundedHttpClient> client;
  TimePoint openedAt;
  TimePoint lastUsedAt;
};

// Returns whether nothing has arrived on an idle connection. Bytes that arrived would be read as
// the answer to the next request, and the end of the stream means that the peer has closed it.
bool isQuiet(const Connection& connection)
{
  pollfd entry{ connection.client->socket(), POLLIN | POLLRDHUP, 0 };
  return poll(&entry, 1, 0) == 0;
}

std::string toLower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

void setClientSocketOptions(int fd)
{
  constexpr int kOn = 1;
  constexpr int kKeepAliveIdleSeconds = 5;
  constexpr int kKeepAliveIntervalSeconds = 2;
  constexpr int kKeepAliveProbes = 2;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
}

ResponseHead toHead(const httplib::Response& response)
{
  ResponseHead head;
  head.status = response.status;
  for (const auto& [name, value] : response.headers) {
    head.headers.emplace_back(toLower(name), value);
  }
  return head;
}

bool hasDefiniteLength(const ResponseHead& head)
{
  return head.status == 204 || head.status == 304 || head.header("content-length") ||
         head.header("transfer-encoding");
}

httplib::Request toHttplib(const ClientRequest& request)
{
  httplib::Request out;
  out.method = request.method;
  out.path = request.path;
  for (const auto& [name, value] : request.headers) {
    out.headers.emplace(name, value);
  }
  if (!request.bodySource) {
    out.body = request.body;
    return out;
  }
  out.content_length_ = request.bodyLength.value_or(0);
  out.is_chunked_content_provider_ = !request.bodyLength.has_value();
  if (out.is_chunked_content_provider_) {
    out.headers.emplace("Transfer-Encoding", "chunked");
  }
  out.content_provider_ = [&request](std::size_t, std::size_t, httplib::DataSink& sink) {
    const bool complete = request.bodySource(
      [&sink](std::string_view part) { return sink.write(part.data(), part.size()); });
    // Only a chunked body has an end marker.
    if (complete && !request.bodyLength) {
      sink.done();
    }
    return complete;
  };
  return out;
}

} // namespace

struct CancelHandle::State
{
  std::mutex mutex;
  bool cancelled = false;
  BoundedHttpClient* client = nullptr;
};

CancelHandle::CancelHandle()
  : state_(std::make_unique<State>())
{
}

CancelHandle::~CancelHandle() = default;

void CancelHandle::cancel()
{
  std::lock_guard lock(state_->mutex);
  state_->cancelled = true;
  if (state_->client != nullptr) {
    state_->client->stop();
  }
}

bool CancelHandle::isCancelled() const
{
  std::lock_guard lock(state_->mutex);
  return state_->cancelled;
}

class HttpClientPool::Impl
{
public:
  Impl(ClientPoolLimits limits, const FaultSwitch& faults)
    : limits_(limits)
    , faults_(faults)
  {
  }

  Connection acquire(const std::string& address, ConnectionUse use)
  {
    if (use == ConnectionUse::Any) {
      if (auto idle = acquireIdle(address)) {
        return std::move(*idle);
      }
    }
    const HostPort target = HostPort::parse(address);
    Connection connection;
    connection.client = std::make_unique<BoundedHttpClient>(target.host, target.port);
    connection.client->set_keep_alive(true);
    connection.client->set_tcp_nodelay(true);
    connection.client->set_url_encode(false);
    connection.client->set_follow_location(false);
    connection.client->set_decompress(false);
    connection.client->set_socket_options(setClientSocketOptions);
    connection.client->set_connection_timeout(limits_.connectTimeout);
    connection.openedAt = SteadyClock().now();
    return connection;
  }

  void release(const std::string& address, Connection connection)
  {
    connection.lastUsedAt = SteadyClock().now();
    std::lock_guard lock(mutex_);
    auto& idle = idle_[address];
    if (idle.size() < limits_.maxIdlePerAddress) {
      idle.push_front(std::move(connection));
    }
  }

  void discardIdle(const std::string& address)
  {
    std::list<Connection> discarded;
    std::lock_guard lock(mutex_);
    discarded.swap(idle_[address]);
  }

  bool isUnreachable(const std::string& address) const { return faults_.isUnreachable(address); }

private:
  std::optional<Connection> acquireIdle(const std::string& address)
  {
    std::list<Connection> unusable;
    std::lock_guard lock(mutex_);
    auto& idle = idle_[address];
    const TimePoint oldestAllowed = SteadyClock().now() - limits_.maxIdle;
    while (!idle.empty() && idle.back().lastUsedAt < oldestAllowed) {
      unusable.splice(unusable.end(), idle, std::prev(idle.end()));
    }
    while (!idle.empty() && !isQuiet(idle.front())) {
      unusable.splice(unusable.end(), idle, idle.begin());
    }
    if (idle.empty()) {
      return std::nullopt;
    }
    Connection connection = std::move(idle.front());
    idle.pop_front();
    return connection;
  }

  const ClientPoolLimits limits_;
  const FaultSwitch& faults_;
  std::mutex mutex_;
  std::unordered_map<std::string, std::list<Connection>> idle_;
};

HttpClientPool::HttpClientPool(ClientPoolLimits limits, const FaultSwitch& faults)
  : impl_(std::make_unique<Impl>(limits, faults))
{
}

HttpClientPool::~HttpClientPool() = default;

void HttpClientPool::discardIdle(const std::string& address)
{
  impl_->discardIdle(address);
}

namespace {

// Registers the client of an exchange with its cancel handle while the exchange runs.
template<typename State>
class CancelScope
{
public:
  CancelScope(State* state, BoundedHttpClient& client)
    : state_(state)
  {
    if (state_ == nullptr) {
      return;
    }
    std::lock_guard lock(state_->mutex);
    cancelled_ = state_->cancelled;
    state_->client = &client;
  }

  ~CancelScope() { end(); }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

  // Ends the registration: a later cancellation doesn't touch the client.
  void end()
  {
    if (state_ == nullptr) {
      return;
    }
    std::lock_guard lock(state_->mutex);
    state_->client = nullptr;
  }

  bool wasCancelled() const { return cancelled_; }

private:
  State* state_;
  bool cancelled_ = false;
};

ExchangeResult classifyFailure(httplib::Error error, bool aborted, TimePoint deadline)
{
  if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
      error == httplib::Error::SSLConnection) {
    return ExchangeResult::NotSent;
  }
  if (aborted) {
    return ExchangeResult::Aborted;
  }
  return SteadyClock().now() >= deadline ? ExchangeResult::TimedOut
                                         : ExchangeResult::ConnectionLost;
}

} // namespace

ExchangeResult HttpClientPool::exchange(const std::string& address,
                                        const ClientRequest& request,
                                        const ResponseReceiver& receiver,
                                        TimePoint deadline,
                                        CancelHandle* cancel)
{
  const Duration remaining = deadline - SteadyClock().now();
  if (remaining <= Duration::zero() || impl_->isUnreachable(address)) {
    return ExchangeResult::NotSent;
  }
  Connection connection;
  try {
    connection = impl_->acquire(address, request.connectionUse);
  } catch (const TransportError&) {
    // The address of a peer or a server is malformed, so nothing can be sent to it.
    return ExchangeResult::NotSent;
  }
  CancelScope scope(cancel != nullptr ? cancel->state_.get() : nullptr, *connection.client);
  if (scope.wasCancelled()) {
    return ExchangeResult::NotSent;
  }
  // Rounded up, so that a wait that times out ends after the deadline: classifyFailure() thereby
  // distinguishes it from a broken connection.
  const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(remaining) + kTimeoutMargin;
  connection.client->setTimeouts(deadline, timeout);

  bool aborted = false;
  bool indefinite = false;
  httplib::Request out = toHttplib(request);
  out.response_handler = [&](const httplib::Response& response) {
    const ResponseHead head = toHead(response);
    indefinite = !hasDefiniteLength(head);
    aborted = !indefinite && !receiver.onHead(head);
    return !indefinite && !aborted;
  };
  out.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    aborted = !receiver.onBody(std::string_view(data, size));
    return !aborted;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool answered = connection.client->sendBounded(out, response, error);
  // A cancellation must not stop the connection once the pool has passed it on or closed it.
  scope.end();
  if (answered) {
    const auto connectionHeader = response.get_header_value("Connection");
    const bool allowsReuse = !receiver.allowsReuse || receiver.allowsReuse();
    if (allowsReuse && connectionHeader != "close" && connection.client->is_socket_open() != 0) {
      impl_->release(address, std::move(connection));
    }
    return ExchangeResult::Complete;
  }
  const ExchangeResult result = classifyFailure(error, aborted, deadline);
  if (result == ExchangeResult::TimedOut) {
    impl_->discardIdle(address);
  }
  return result;
}

BufferedResponse HttpClientPool::fetch(const std::string& address,
                                       const ClientRequest& request,
                                       TimePoint deadline,
                                       std::size_t maxBody)
{
  BufferedResponse buffered;
  ResponseReceiver receiver;
  receiver.onHead = [&](const ResponseHead& head) {
    buffered.head = head;
    return true;
  };
  receiver.onBody = [&](std::string_view part) {
    buffered.body.append(part);
    return buffered.body.size() <= maxBody;
  };
  buffered.result = exchange(address, request, receiver, deadline);
  return buffered;
}

} // namespace sycamore::transport
