#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::transport {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Processes a part of a body. Returns false to stop, for example when the connection broke.
using BodyWriter = std::function<bool(std::string_view part)>;

// Passes a request body part by part to `write`. Returns false if the body is incomplete.
using BodySource = std::function<bool(const BodyWriter& write)>;

// The connection that a request may use.
enum class ConnectionUse
{
  // A kept connection if there is one.
  Any,
  // A new connection, on which no late copy of the answer to an earlier request can arrive.
  New
};

// A request to another process. The body is either held in memory or streamed from a source.
struct ClientRequest
{
  std::string method = "POST";
  std::string path;
  HeaderList headers;
  std::string body;
  BodySource bodySource;
  // Length of a streamed body in bytes; absent for a chunked one.
  std::optional<std::size_t> bodyLength;
  ConnectionUse connectionUse = ConnectionUse::Any;
};

// Status and headers of an answer. Header names are in lowercase.
struct ResponseHead
{
  int status = 0;
  HeaderList headers;

  // Returns the value of the first header with this lowercase name, or nothing.
  std::optional<std::string> header(std::string_view name) const;
};

// Callbacks that receive an answer while it arrives, on the thread that called exchange().
struct ResponseReceiver
{
  // Called once. Returning false aborts the exchange.
  std::function<bool(const ResponseHead& head)> onHead;
  // Called for each part of the body. Returning false aborts the exchange.
  std::function<bool(std::string_view part)> onBody;
  // Called after a complete answer. Returns whether later requests may use its connection; if
  // absent, they may.
  std::function<bool()> allowsReuse = nullptr;
};

// How an exchange ended.
enum class ExchangeResult
{
  // The complete answer was received.
  Complete,
  // No byte of the request was sent.
  NotSent,
  // The connection broke after bytes of the request may have reached the other side.
  ConnectionLost,
  // The deadline passed after bytes of the request may have reached the other side.
  TimedOut,
  // The receiver aborted the exchange.
  Aborted,
};

// An answer buffered in memory. Head and body are partial unless the result is Complete.
struct BufferedResponse
{
  ExchangeResult result = ExchangeResult::NotSent;
  ResponseHead head;
  std::string body;

  // Returns whether the answer is complete and has a status from 200 to 299.
  bool ok() const;
};

} // namespace sycamore::transport
