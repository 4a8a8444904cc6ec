#pragma once

#include <cstddef>
#include <httplib.h>
#include <mutex>
#include <set>
#include <test_http/FreezeGate.h>
#include <test_http/ServerConnection.h>

namespace sycamore::test_http {

// The HTTP server of a stand-in: cpp-httplib's request handling over connections that can freeze,
// go silent or close without an answer. Register handlers first, then bind() and serve().
class StubHttpServer : public httplib::Server
{
public:
  // maxConnections bounds the connections served at once; further ones wait unserved.
  explicit StubHttpServer(std::size_t maxConnections);
  ~StubHttpServer() override;

  // Binds 127.0.0.1; port 0 takes a free one. Returns the port. Throws base::Error.
  int bind(int port);

  // Prints "listening 127.0.0.1:PORT" to standard output, then serves until stopServing().
  void announceAndServe();
  void serve();
  void stopServing();

  // For a handler: closes its connection without an answer.
  static void dropCurrentConnection();

  // Silences all open connections but that of the calling handler. New ones work.
  void blackholeOpenConnections();

  // All connections but that of the calling handler stop until the time, then go on as if nothing
  // had happened.
  void freezeUntil(base::TimePoint end);

  // Passed by work that a freeze must hold back between its reads and writes.
  const FreezeGate& gate() const { return gate_; }

private:
  bool process_and_close_socket(socket_t socket) override;
  void serveConnection(ServerConnection& connection);

  FreezeGate gate_;
  const int stopFd_;
  std::mutex mutex_;
  std::set<ServerConnection*> connections_;
  int port_ = 0;
};

} // namespace sycamore::test_http
