#pragma once

#include <entry/Asio.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::entry {

// A backend server on the loopback interface that answers each request with given bytes.
class FakeServer
{
public:
  // Reaction to a request: the bytes to write, and whether to keep the connection open, close it in
  // order, end only the server's side of it without reading on, or reset it.
  struct Reaction
  {
    enum class End
    {
      KeepOpen,
      Close,
      ShutdownSend,
      Reset
    };

    std::string bytes;
    End end = End::KeepOpen;
    // Bytes that are written again and again after the others, until the connection ends.
    std::string endless = "";
    std::chrono::milliseconds endlessInterval{ 0 };
    // Time that passes before the bytes are written.
    std::chrono::milliseconds delay{ 0 };
    // Time that passes between the bytes and the end of the connection, in which nothing is read.
    std::chrono::milliseconds endDelay{ 0 };
  };
  using React = std::function<Reaction(const std::string& request)>;

  FakeServer(asio::io_context& context, React react);
  ~FakeServer();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const std::vector<std::string>& requests() const;
  // Resets all connections.
  void resetConnections();
  // Resets this number of further connections as soon as they are accepted.
  void resetNextConnections(unsigned count);
  // Lets the oldest connections go silent: they stay open, and no request on them is answered or
  // recorded any more.
  void silenceConnections(std::size_t count);
  // Accepts new connections without reading them, until readHeldConnections().
  void holdNewConnections();
  // Reads the connections that were held, each until its end.
  void readHeldConnections();
  // Returns the number of connections that the server has accepted.
  unsigned accepted() const;
  // Returns the number of connections that the other side has ended.
  unsigned ended() const;

private:
  struct State;

  void accept();

  tcp::acceptor acceptor_;
  std::shared_ptr<State> state_;
};

} // namespace sycamore::entry
