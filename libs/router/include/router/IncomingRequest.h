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

// A caller's request, checked. Lives on one traffic thread.
struct IncomingRequest
{
  base::ServiceId service;
  base::MethodId method;
  std::string httpMethod;
  // Path and query as sent: "/v1/<service>/<method>[/...][?...]".
  std::string target;
  std::optional<base::Key> key;
  base::RequestId id;
  // Whether the id came from the caller.
  bool hasCallerId = false;
  unsigned attempt = 1;
  base::TimePoint deadline;
  transport::HeaderList headers;

  // A short body is held and can be sent again; a long one streams from the source once.
  std::string body;
  bool isStreamed = false;
  // Whether a streamed body has been read from; it can't be sent again then.
  bool isBodyUsed = false;
  std::optional<std::size_t> bodyLength;
  // A streamed body that turns out to be longer is broken off.
  std::uint64_t bodyLimit = std::numeric_limits<std::uint64_t>::max();
  transport::ServerRequest* source = nullptr;
  std::function<bool()> isSenderGone;

  requests::WorkIdentity identity() const;
  // Digest of method, key and body, or of what is known of it for a streamed body.
  std::uint64_t fingerprint() const;
};

// A request that can't be accepted as it is. Nothing of it has run.
struct BadRequest
{
  std::string message;
};

// Limits that the syntax of a request is held to.
struct RequestLimits
{
  // A body up to this size is held in memory, so that the request can be repeated.
  std::size_t heldBodyBytes = 64 * 1024;
  base::Duration defaultDeadline = std::chrono::seconds(10);
};

// Reads and checks path and headers of a request under "/v1/". Doesn't read the body.
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
