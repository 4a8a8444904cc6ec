#pragma once

#include <cstddef>
#include <httplib.h>
#include <mutex>
#include <set>
#include <test_http/FreezeGate.h>
#include <test_http/ServerConnection.h>

namespace sycamore::test_http {

// HTTP server of a stub: cpp-httplib's request handling over connections that can be frozen, made
// unresponsive or closed without an answer. Register the handlers first, then call bind() and
// serve().
class StubHttpServer : public httplib::Server
{
public:
  // maxConnections limits the connections that are served at once; further ones wait.
  explicit StubHttpServer(std::size_t maxConnections);
  ~StubHttpServer() override;

  // Binds to 127.0.0.1; port 0 picks a free port. Returns the port. Throws base::Error on failure.
  int bind(int port);

  // Prints "listening 127.0.0.1:PORT" to standard output, then serves until stopServing().
  void announceAndServe();
  void serve();
  void stopServing();

  // Called by a handler: closes its connection without an answer.
  static void dropCurrentConnection();

  // Makes all open connections unresponsive except that of the calling handler. New ones work.
  void blackholeOpenConnections();

  // Blocks all connections except that of the calling handler until `end`; then they continue as if
  // nothing had happened.
  void freezeUntil(base::TimePoint end);

  // For handlers whose work a freeze must also block, between the reads and writes of the
  // connection.
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
