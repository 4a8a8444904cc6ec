#pragma once

#include <entry/Dispatcher.h>
#include <entry/Listener.h>

#include <dispatch/EntrySettings.h>

#include <memory>
#include <set>

namespace sycamore::entry {

class CallerConnection;

// Accepts callers' connections and handles their requests with the dispatcher. Traffic thread only.
class CallerServer
{
public:
  CallerServer(asio::io_context& context, const dispatch::Endpoint& listen, Dispatcher& dispatcher);

  // Closes each connection after its next answer, which carries `Connection: close`.
  void beginDrain();

  // Accepts no more connections and closes those without an active request.
  void stopAccepting();

  // Gives every request that is in progress its final answer, because the process ends.
  void endRequests();

  // Returns the number of requests that have begun to arrive and haven't been fully answered.
  std::size_t activeRequests() const;
  std::size_t connections() const { return connections_.size(); }

private:
  friend class CallerConnection;

  void serve(tcp::socket socket);
  void remove(const std::shared_ptr<CallerConnection>& connection);

  asio::io_context& context_;
  Dispatcher& dispatcher_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  Listener listener_;
  bool draining_ = false;
};

} // namespace sycamore::entry
