#pragma once

#include <entry/Asio.h>

#include <dispatch/EntrySettings.h>

#include <functional>

namespace sycamore::entry {

// Accepts connections at an address until it is stopped. Accepting is retried after failures, such
// as a lack of file descriptors.
class Listener
{
public:
  using Accepted = std::function<void(tcp::socket)>;

  // `backlog` is the maximum number of connections waiting to be accepted.
  Listener(asio::io_context& context,
           const dispatch::Endpoint& address,
           int backlog,
           Accepted accepted);

  void stop();
  bool stopped() const { return stopped_; }

private:
  void accept();
  void acceptWaiting();

  tcp::acceptor acceptor_;
  asio::steady_timer retryTimer_;
  Accepted accepted_;
  bool stopped_ = false;
};

} // namespace sycamore::entry
