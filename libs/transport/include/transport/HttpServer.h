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

// A received request. Header names keep their case; lookups ignore it.
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
  // Returns the value of a query parameter, or nothing.
  virtual std::optional<std::string> parameter(const std::string& name) const = 0;

  // Returns the length of the body in bytes, 0 without a body, or nothing for a chunked one.
  virtual std::optional<std::size_t> bodyLength() const = 0;
  // Reads the body part by part on the calling thread. Returns false if the body is truncated or
  // malformed. A second call returns the result of the first and passes no parts.
  virtual bool readBody(const BodyWriter& receive) = 0;
  // Reads the complete body. Returns nothing if it is longer than limit bytes or truncated.
  virtual std::optional<std::string> readBody(std::size_t limit) = 0;

  // Returns a function that reports whether the sender has closed its connection. It may be called
  // from any thread as long as the request is being handled.
  virtual std::function<bool()> senderProbe() const = 0;
};

// Writes the answer to one request. The handler calls exactly one of send() and begin(). If an
// answer was begun and not ended, the server closes the connection, so that the client doesn't take
// a truncated answer for a complete one.
class ServerResponse
{
public:
  virtual ~ServerResponse() = default;

  virtual void setHeader(const std::string& name, const std::string& value) = 0;
  // Sends a complete answer.
  virtual void send(int status, std::string_view body, const std::string& contentType) = 0;
  // Begins a streamed answer, which is chunked if there is no length. begin(), write() and end()
  // return false when the connection broke.
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
  // Maximum number of concurrent requests; each takes a thread.
  std::size_t maxConcurrent = 256;
  std::size_t maxConnections = 8192;
  // Time within which the complete head of a request must arrive.
  base::Duration headTimeout = std::chrono::seconds(5);
  // Maximum wait for the next part of a body, or until the socket accepts more data.
  base::Duration ioTimeout = std::chrono::seconds(15);
  base::Duration keepAliveTimeout = std::chrono::seconds(120);
};

// An HTTP/1.1 server based on cpp-httplib. One thread watches the connections that wait for their
// next request, so that they occupy no worker thread; cpp-httplib alone would keep one thread per
// open connection. Requests with ambiguous framing (several lengths, a length together with chunked
// encoding, a body on GET) are refused and their connection is closed.
class HttpServer
{
public:
  // The handler is called concurrently on worker threads. If it throws, the request is answered
  // with status 500.
  HttpServer(ServerLimits limits, ServerHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds an address; port 0 selects a free port. Returns the bound address. Throws TransportError
  // if the address can't be bound.
  HostPort bind(const HostPort& address);

  // Starts to serve the bound address on the server's own threads.
  void start();

  // Drains connections: from now on each connection is closed after its next answer.
  void beginDrain();

  // Returns the number of requests in flight.
  std::size_t inFlight() const;

  // Returns the number of open connections.
  std::size_t openConnections() const;

  // Stops accepting connections, waits until the deadline for the requests in flight, then closes
  // all connections. Returns false if requests were still in flight at the deadline.
  bool stop(base::TimePoint deadline);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::transport
