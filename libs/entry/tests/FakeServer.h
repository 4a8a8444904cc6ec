#pragma once

#include <entry/Asio.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::entry {

// A backend server on loopback that answers each request with given bytes.
class FakeServer
{
public:
  // What to do with a request: bytes to write, and whether to end the connection afterwards, with a
  // reset or properly.
  struct Reaction
  {
    enum class End
    {
      KeepOpen,
      Close,
      Reset
    };

    std::string bytes;
    End end = End::KeepOpen;
  };
  using React = std::function<Reaction(const std::string& request)>;

  FakeServer(asio::io_context& context, React react);
  ~FakeServer();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const std::vector<std::string>& requests() const;
  // Connections that the other side has ended.
  unsigned ended() const;

private:
  struct State;

  void accept();

  tcp::acceptor acceptor_;
  std::shared_ptr<State> state_;
};

} // namespace sycamore::entry
