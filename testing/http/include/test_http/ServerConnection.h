#pragma once

#include <array>
#include <atomic>
#include <httplib.h>

namespace sycamore::test_http {

class FreezeGate;

// One accepted connection of a stub server, with the faults that are injected at the socket: it can
// be closed without an answer, or discard all bytes in both directions. Used by the thread that
// serves it; blackhole() may be called from any thread. Does not own the descriptor.
class ServerConnection : public httplib::Stream
{
public:
  // stopFd becomes readable when the server stops.
  ServerConnection(socket_t socket, const FreezeGate& gate, int stopFd);

  // Waits for the first byte of the next request. Returns false if the connection is closed or idle
  // for too long, or the server stops.
  bool waitForRequest(int idleSeconds);

  // Closes the connection after the current request, without writing anything more.
  void drop() { dropped_ = true; }
  bool dropped() const { return dropped_; }

  // From now on, until the peer closes the connection, received bytes are discarded and writes
  // succeed without sending anything.
  void blackhole() { blackholed_ = true; }

  // From now on freezes do not block this connection.
  void exemptFromFreeze() { exempt_ = true; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

private:
  void waitAtGate() const;
  ssize_t receive(char* data, std::size_t size);
  bool waitForEvents(short events, int timeoutMs) const;

  const socket_t socket_;
  const FreezeGate& gate_;
  const int stopFd_;
  std::atomic<bool> blackholed_ = false;
  bool dropped_ = false;
  bool exempt_ = false;
  std::array<char, 16384> buffer_{};
  std::size_t bufferBegin_ = 0;
  std::size_t bufferEnd_ = 0;
};

} // namespace sycamore::test_http
