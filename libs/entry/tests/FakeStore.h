#pragma once

#include <entry/Asio.h>

#include <cstdint>
#include <memory>

namespace sycamore::entry {

// A store on the loopback interface that holds one configuration, whose answers arrive no faster
// than a link of the given rate carries them. Watches wait for a change.
class FakeStore
{
public:
  FakeStore(asio::io_context& context, std::size_t bytesPerSecond);
  ~FakeStore();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // Writes the next version, with this number of routes.
  void write(std::size_t routes);
  std::uint64_t revision() const;
  // Lets answers that may be outdated show the state of this many versions ago.
  void setStaleVersions(std::size_t versions);
  // Lets the connections that exist now go silent: they stay open, and nothing is read from them or
  // sent on them any more. New ones work.
  void silenceConnections();
  // Returns the number of bytes sent so far.
  std::size_t bytesSent() const;

private:
  struct State;
  struct Connection;

  void accept();

  tcp::acceptor acceptor_;
  std::shared_ptr<State> state_;
};

} // namespace sycamore::entry
