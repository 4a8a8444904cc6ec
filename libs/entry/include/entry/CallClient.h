#pragma once

#include <entry/IdleConnections.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamore::entry {

// A call with a JSON body to the store or to a backend server.
struct Call
{
  dispatch::Endpoint endpoint;
  std::string method;
  std::string path;
  // Further header lines, each with its line end.
  std::string headers;
  std::string body;
  base::Duration timeout{};
  // Told right before the call is written to a connection; may be empty.
  std::function<void()> sending;
};

// Sends calls over kept connections. A call without an answer in time resets its connection, so
// that it can't arrive later. Control thread only.
class CallClient
{
public:
  using Finished = std::function<void(ExchangeResult)>;

  explicit CallClient(asio::io_context& context);

  void call(Call call, Finished finished);

private:
  struct Pending;
  using EndpointKey = std::pair<std::string, std::uint16_t>;

  IdleConnections& idleOf(const dispatch::Endpoint& endpoint);

  asio::io_context& context_;
  std::map<EndpointKey, IdleConnections> idle_;
};

} // namespace sycamore::entry
