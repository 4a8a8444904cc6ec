#pragma once

#include <base/Time.h>
#include <transport/HostPort.h>
#include <transport/HttpExchange.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::transport {

// A request as it arrived. Header names keep their case; lookups ignore it.
class ServerRequest
{
public:
  virtual ~ServerRequest() = default;

  virtual const std::string& method() const = 0;
  // Path without the query.
  virtual const std::string& path() const = 0;
  // Path with the query, as sent.
  virtual const std::string& target() const = 0;
  virtual std::optional<std::string> header(const std::string& name) const = 0;
  virtual HeaderList headers() const = 0;
  // Value of a query parameter, or nothing.
  virtual std::optional<std::string> parameter(const std::string& name) const = 0;

  // Length of the body in bytes, or nothing for a chunked one. 0 without a body.
  virtual std::optional<std::size_t> bodyLength() const = 0;
  // Reads the body part by part on the calling thread; false when the sender broke off or sent
  // a malformed body. A second call gives the result of the first and no parts.
  virtual bool readBody(const BodyWriter& receive) = 0;
  // Reads the whole body, or nothing when it is longer than limit bytes or broke off.
  virtual std::optional<std::string> readBody(std::size_t limit) = 0;

  // Tells whether the sender closed its connection. The probe may be called from any thread as
  // long as the request is being handled.
  virtual std::function<bool()> senderProbe() const = 0;
};

// Writes the answer to one request. Exactly one of send() or begin() is called. An answer that
// was begun and not ended is broken off by closing the connection, so that a part is never taken
// for the whole.
class ServerResponse
{
public:
  virtual ~ServerResponse() = default;

  virtual void setHeader(const std::string& name, const std::string& value) = 0;
  // Sends a whole answer.
  virtual void send(int status, std::string_view body, const std::string& contentType) = 0;
  // Begins a streamed answer; chunked when length is absent. False when the connection broke.
  virtual bool begin(int status, std::optional<std::size_t> length) = 0;
  virtual bool write(std::string_view part) = 0;
  virtual bool end() = 0;
  virtual bool isBegun() const = 0;
  // Closes the connection after this answer.
  virtual void closeConnection() = 0;
};

using ServerHandler = std::function<void(ServerRequest& request, ServerResponse& response)>;

// Limits of a server.
struct ServerLimits
{
  // Requests handled at the same time; each takes a thread.
  std::size_t maxConcurrent = 256;
  std::size_t maxConnections = 8192;
  // A request head must arrive whole within this time.
  base::Duration headTimeout = std::chrono::seconds(5);
  // Longest wait for the next part of a body or for room to write.
  base::Duration ioTimeout = std::chrono::seconds(15);
  base::Duration keepAliveTimeout = std::chrono::seconds(120);
};

// An HTTP/1.1 server over cpp-httplib. Connections that wait for their next request are watched by
// one thread and hold no worker, since cpp-httplib alone would keep one thread per open
// connection. Requests whose framing is ambiguous (several lengths, a length beside chunked
// encoding, a body on GET) are refused and their connection is closed.
class HttpServer
{
public:
  // The handler is called on worker threads, several at the same time. What it throws is answered
  // with status 500.
  HttpServer(ServerLimits limits, ServerHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds an address. Port 0 takes a free one. Returns the address in use. Throws TransportError
  // when the address can't be bound.
  HostPort bind(const HostPort& address);

  // Starts to serve the bound address on the server's own threads.
  void start();

  // Asks callers to leave: each answer from now on closes its connection.
  void beginDrain();

  // Number of requests in flight.
  std::size_t inFlight() const;

  // Number of open connections.
  std::size_t openConnections() const;

  // Stops accepting, waits for the requests in flight until the deadline, then closes all
  // connections. Returns false when requests were still in flight.
  bool stop(base::TimePoint deadline);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::transport
