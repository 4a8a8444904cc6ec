#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/WorkIdentity.h>
#include <transport/HttpServer.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace sycamore::router {

// A caller's request after validation. Used by one traffic thread.
struct IncomingRequest
{
  base::ServiceId service;
  base::MethodId method;
  std::string httpMethod;
  // Path and query as sent: "/v1/<service>/<method>[/...][?...]".
  std::string target;
  std::optional<base::Key> key;
  base::RequestId id;
  // Whether the caller supplied the id.
  bool hasCallerId = false;
  unsigned attempt = 1;
  base::TimePoint deadline;
  transport::HeaderList headers;

  // A short body is held in memory and can be sent again; a long one is streamed from `source` and
  // can be read only once.
  std::string body;
  bool isStreamed = false;
  // Whether reading a streamed body has begun; it cannot be sent again then.
  bool isBodyUsed = false;
  std::optional<std::size_t> bodyLength;
  // Limit in bytes for a streamed body; a longer one is aborted.
  std::uint64_t bodyLimit = std::numeric_limits<std::uint64_t>::max();
  transport::ServerRequest* source = nullptr;
  std::function<bool()> isSenderDisconnected;

  requests::WorkIdentity identity() const;
  // Returns a digest of target, key and body; for a streamed body, of its length instead.
  std::uint64_t fingerprint() const;
};

// Thrown for an invalid request. Nothing of it has run.
struct BadRequest
{
  std::string message;
};

// Limits and defaults that apply to each request.
struct RequestLimits
{
  // A body up to this size is held in memory, so that the request can be retried.
  std::size_t heldBodyBytes = 64 * 1024;
  base::Duration defaultDeadline = std::chrono::seconds(10);
};

// Parses and validates path and headers of a request under "/v1/". Does not read the body.
class RequestParser
{
public:
  explicit RequestParser(RequestLimits limits);

  // Throws BadRequest.
  IncomingRequest parse(transport::ServerRequest& request, base::TimePoint now) const;

  const RequestLimits& limits() const { return limits_; }

private:
  void parsePath(transport::ServerRequest& request, IncomingRequest& parsed) const;
  void parseHeaders(transport::ServerRequest& request,
                    IncomingRequest& parsed,
                    base::TimePoint now) const;

  RequestLimits limits_;
};

} // namespace sycamore::router
