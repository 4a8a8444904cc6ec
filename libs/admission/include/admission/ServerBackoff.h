#pragma once

#include <base/Time.h>
#include <requests/Backoff.h>

#include <optional>

namespace sycamore::admission {

// Exponential back-off shared by all requests to a backend server. After a refusal or a lost
// connection no request is allowed for a growing time. Then one request is allowed as a probe, as
// in the half-open state of a circuit breaker; if it succeeds, all requests are allowed again. Not
// thread-safe: the owner holds a mutex.
class ServerBackoff
{
public:
  explicit ServerBackoff(requests::BackoffSettings settings = {});

  // Returns whether a request may be sent now.
  bool allowsRequest(base::TimePoint now) const;

  // Returns the earliest time at which allowsRequest() can become true; nothing while a probe is in
  // flight.
  std::optional<base::TimePoint> nextAllowedAt() const;

  // A request was sent. After a failure it is the probe.
  void onSent();

  // The server answered.
  void onSuccess();

  // The request ended in a way that says nothing about the server, such as a cancellation.
  void onInconclusive();

  // The server refused the request as overloaded or cold, or the connection failed. The server's
  // Retry-After hint lengthens the wait. Failures of requests that were sent before the wait began
  // don't. There is no jitter, because only one dispatcher sends to the server.
  void onFailure(std::optional<base::Duration> hint, base::TimePoint now);

private:
  requests::Backoff backoff_;
  unsigned failures_ = 0;
  bool isProbing_ = false;
  base::TimePoint retryAt_{};
};

} // namespace sycamore::admission
