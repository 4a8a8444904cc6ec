#include <base/Error.h>
#include <cstdio>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <test_http/ConnectionPool.h>
#include <test_http/StubHttpServer.h>
#include <unistd.h>

namespace sycamore::test_http {

namespace {

constexpr int kIdleSeconds = 300;

// cpp-httplib's default backlog of 5 overflows when callers open their connection pools at the same
// time; TCP retries a dropped connection request only after a second.
constexpr int kBacklog = 512;

// Called after the headers of a request were read. cpp-httplib 0.11 cannot stream a multipart body,
// and it would decompress a compressed one, which changes its length and digest.
void keepBodyAsSent(httplib::Request& request)
{
  if (request.is_multipart_form_data()) {
    request.headers.erase("Content-Type");
  }
  request.headers.erase("Content-Encoding");
  request.headers.erase("Range");
  request.ranges.clear();
}

// Returns whether the request is a GET with a body. cpp-httplib never reads that body, so it would
// be parsed as the next request.
bool hasUnreadBody(const httplib::Request& request)
{
  const std::string length = request.get_header_value("Content-Length");
  return request.method == "GET" &&
         ((!length.empty() && length != "0") || request.has_header("Transfer-Encoding"));
}

thread_local ServerConnection* currentConnection = nullptr;

} // namespace

StubHttpServer::StubHttpServer(std::size_t maxConnections)
  : stopFd_(eventfd(0, EFD_CLOEXEC))
{
  new_task_queue = [maxConnections] { return new ConnectionPool(maxConnections); };
  set_tcp_nodelay(true);
  // cpp-httplib's default socket option lets a second process bind the same port.
  set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

StubHttpServer::~StubHttpServer()
{
  close(stopFd_);
}

int StubHttpServer::bind(int port)
{
  port_ = port;
  const bool bound =
    port == 0 ? (port_ = bind_to_any_port("127.0.0.1")) > 0 : bind_to_port("127.0.0.1", port);
  if (!bound || ::listen(svr_sock_, kBacklog) != 0) {
    throw base::Error("cannot listen on 127.0.0.1:" + std::to_string(port));
  }
  return port_;
}

void StubHttpServer::announceAndServe()
{
  std::printf("listening 127.0.0.1:%d\n", port_);
  std::fflush(stdout);
  serve();
}

void StubHttpServer::serve()
{
  listen_after_bind();
}

void StubHttpServer::stopServing()
{
  eventfd_write(stopFd_, 1);
  stop();
}

void StubHttpServer::dropCurrentConnection()
{
  if (currentConnection != nullptr) {
    currentConnection->drop();
  }
}

void StubHttpServer::blackholeOpenConnections()
{
  const std::lock_guard lock(mutex_);
  for (ServerConnection* connection : connections_) {
    if (connection != currentConnection) {
      connection->blackhole();
    }
  }
}

void StubHttpServer::freezeUntil(base::TimePoint end)
{
  if (currentConnection != nullptr) {
    currentConnection->exemptFromFreeze();
  }
  gate_.freezeUntil(end);
}

bool StubHttpServer::process_and_close_socket(socket_t socket)
{
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ServerConnection connection(socket, gate_, stopFd_);
  {
    const std::lock_guard lock(mutex_);
    connections_.insert(&connection);
  }
  currentConnection = &connection;
  serveConnection(connection);
  currentConnection = nullptr;
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(&connection);
  }
  shutdown(socket, SHUT_RDWR);
  close(socket);
  return true;
}

void StubHttpServer::serveConnection(ServerConnection& connection)
{
  bool closed = false;
  const auto prepare = [&closed](httplib::Request& request) {
    keepBodyAsSent(request);
    if (hasUnreadBody(request)) {
      request.set_header("Connection", "close");
      closed = true;
    }
  };
  while (!closed && !connection.dropped() && connection.waitForRequest(kIdleSeconds)) {
    if (!process_request(connection, false, closed, prepare)) {
      return;
    }
  }
}

} // namespace sycamore::test_http
