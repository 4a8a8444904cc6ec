#include <platform/HttplibTransport.h>

#include <transport/BoundedHttpClient.h>

#include <algorithm>
#include <mutex>
#include <vector>

namespace sycamore::platform {

namespace {

// Maximum number of pooled idle connections; further connections are closed after their call.
constexpr std::size_t kMaxIdleConnections = 16;

// A connection attempt to a lost host gets no answer at all and must not use up a long deadline.
constexpr base::Duration kMaxConnectTimeout = std::chrono::seconds(1);

base::TimePoint now()
{
  return base::SteadyClock().now();
}

bool failedBeforeSending(httplib::Error error)
{
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

} // namespace

// Counts the bytes of one answer among those of all calls in progress.
class HttplibTransport::BufferedBytes
{
public:
  BufferedBytes(std::atomic<std::size_t>& total, std::size_t limit)
    : total_(total)
    , limit_(limit)
  {
  }
  ~BufferedBytes() { total_ -= own_; }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  // Returns whether there is room for these further bytes.
  bool tryAdd(std::size_t bytes)
  {
    own_ += bytes;
    return total_.fetch_add(bytes) + bytes <= limit_;
  }

private:
  std::atomic<std::size_t>& total_;
  const std::size_t limit_;
  std::size_t own_ = 0;
};

// Idle connections, the most recently used one last.
class HttplibTransport::Pool
{
public:
  explicit Pool(const std::string& address)
    : host_(address.substr(0, address.rfind(':')))
    , port_(std::stoi(address.substr(address.rfind(':') + 1)))
  {
    if (host_.size() > 2 && host_.front() == '[') {
      host_ = host_.substr(1, host_.size() - 2);
    }
  }

  std::unique_ptr<transport::BoundedHttpClient> acquire()
  {
    {
      const std::lock_guard lock(mutex_);
      if (!idle_.empty()) {
        auto client = std::move(idle_.back());
        idle_.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<transport::BoundedHttpClient>(host_, port_);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
  }

  void release(std::unique_ptr<transport::BoundedHttpClient> client)
  {
    const std::lock_guard lock(mutex_);
    if (idle_.size() < kMaxIdleConnections) {
      idle_.push_back(std::move(client));
    }
  }

  void clear()
  {
    const std::lock_guard lock(mutex_);
    idle_.clear();
  }

private:
  std::string host_;
  int port_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<transport::BoundedHttpClient>> idle_;
};

HttplibTransport::HttplibTransport(std::string address,
                                   BlockCheck blockCheck,
                                   std::size_t maxBufferedBytes)
  : address_(std::move(address))
  , blockCheck_(std::move(blockCheck))
  , maxBufferedBytes_(maxBufferedBytes)
  , pool_(std::make_unique<Pool>(address_))
{
}

HttplibTransport::~HttplibTransport() = default;

bool HttplibTransport::isBlocked() const
{
  return blockCheck_ && blockCheck_(address_);
}

HttpReply HttplibTransport::exchange(const HttpCall& call, base::TimePoint deadline)
{
  const base::Duration remaining = deadline - now();
  if (remaining <= base::Duration::zero() || isBlocked()) {
    throw TransportError(
      "the call to the platform was not sent: its deadline has passed or the address is blocked",
      false);
  }
  auto client = pool_->acquire();
  client->set_connection_timeout(std::min(remaining, kMaxConnectTimeout));
  client->setTimeouts(deadline, remaining);

  HttpReply reply;
  httplib::Request request;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  if (!call.body.empty()) {
    request.set_header("Content-Type", "application/json");
  }
  BufferedBytes buffered(bufferedBytes_, maxBufferedBytes_);
  // The timeout applies to each read of the body only, so the deadline is checked per chunk.
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    reply.body.append(data, size);
    return buffered.tryAdd(size) && now() < deadline;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client->sendBounded(request, response, error)) {
    // All pooled connections can become unresponsive at once while new ones work.
    pool_->clear();
    throw TransportError("no answer from the platform: " + httplib::to_string(error),
                         !failedBeforeSending(error));
  }
  if (isBlocked()) {
    throw TransportError("the answer of the platform was dropped because its address is blocked",
                         true);
  }
  reply.status = response.status;
  pool_->release(std::move(client));
  return reply;
}

} // namespace sycamore::platform
