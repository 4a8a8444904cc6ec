#include <entry/ReadinessServer.h>

#include <entry/HandlerScope.h>
#include <entry/HttpText.h>

#include <wire/ServerProtocol.h>

#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace sycamore::entry {

namespace {

constexpr std::uint32_t kHeaderLimit = 16 * 1024;
constexpr std::uint64_t kBodyLimit = 16 * 1024;
// Time without a request after which a connection is closed.
constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::string_view kMetricsPath = "/metrics";

struct Session : std::enable_shared_from_this<Session>
{
  Session(tcp::socket s, std::function<bool()> r, std::function<std::string()> m)
    : socket(std::move(s))
    , timer(socket.get_executor())
    , ready(std::move(r))
    , metrics(std::move(m))
  {
    reader.start(kHeaderLimit, kBodyLimit);
  }

  void read()
  {
    timer.expires_after(kIdleTimeout);
    timer.async_wait([weak = weak_from_this()](const error_code& error) {
      const auto self = weak.lock();
      if (!error && self) {
        error_code ignored;
        self->socket.close(ignored);
      }
    });
    socket.async_read_some(asio::buffer(chunk),
                           [self = shared_from_this()](const error_code& error, std::size_t n) {
                             if (!error) {
                               self->in.append(self->chunk.data(), n);
                               self->process();
                             }
                           });
  }

  void process()
  {
    const HandlerScope scope("readiness_request");
    const ReadState state = reader.feed(in);
    if (state == ReadState::NeedMore) {
      read();
    } else if (state == ReadState::Done) {
      answer(reader.take());
    }
  }

  void answer(const Request& request)
  {
    const std::string_view path = request.target;
    CallerAnswer result;
    if (wire::isReadinessPath(path)) {
      result = ready() ? makeAnswer(200, "", "ready") : makeAnswer(503, "", "not ready");
    } else if (path == kMetricsPath) {
      result = makeAnswer(200, "", metrics());
    } else {
      result = makeAnswer(404, "", "unknown path");
    }
    const bool close = !request.isKeepAlive;
    out = writeAnswer(result, close, false);
    asio::async_write(socket,
                      asio::buffer(out),
                      [self = shared_from_this(), close](const error_code& error, std::size_t) {
                        if (error || close) {
                          return;
                        }
                        self->reader.start(kHeaderLimit, kBodyLimit);
                        self->process();
                      });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::function<bool()> ready;
  std::function<std::string()> metrics;
  std::array<char, 2048> chunk{};
  std::string in;
  std::string out;
  RequestReader reader;
};

} // namespace

ReadinessServer::ReadinessServer(asio::io_context& context,
                                 const dispatch::Endpoint& listen,
                                 std::function<bool()> ready,
                                 std::function<std::string()> metrics)
  : ready_(std::move(ready))
  , metrics_(std::move(metrics))
  , listener_(context,
              listen,
              asio::socket_base::max_listen_connections,
              [this](tcp::socket socket) {
                std::make_shared<Session>(std::move(socket), ready_, metrics_)->read();
              })
{
}

} // namespace sycamore::entry
