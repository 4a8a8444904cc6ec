#pragma once

#include <entry/Dispatcher.h>
#include <entry/Listener.h>

#include <dispatch/EntrySettings.h>

#include <memory>
#include <set>

namespace sycamore::entry {

class CallerConnection;

// Accepts callers' connections and serves their requests through the dispatcher. Traffic thread
// only.
class CallerServer
{
public:
  CallerServer(asio::io_context& context, const dispatch::Endpoint& listen, Dispatcher& dispatcher);

  // From now on every answer asks its caller to use another connection.
  void beginDrain();

  // Accepts no more connections and ends those on which no request is waiting.
  void stopAccepting();

  // Requests that have begun to arrive and aren't answered.
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
