#pragma once

#include <base/Time.h>
#include <requests/Backoff.h>

#include <optional>

namespace sycamore::admission {

// One back-off for all requests to a backend server. After a refusal or a lost connection the gate
// closes for a growing time; then one request goes through as a probe, and its success opens the
// gate. Not thread-safe: the owner holds a mutex.
class BackoffGate
{
public:
  explicit BackoffGate(requests::BackoffSettings settings = {});

  // Whether a request may be sent now.
  bool open(base::TimePoint now) const;

  // When open() can next become true; nothing while a probe is out.
  std::optional<base::TimePoint> nextOpening() const;

  // A request was sent. While the gate recovers it is the probe.
  void onSent();

  // The server answered.
  void noteSuccess();

  // The end of the request says nothing of the server, e.g. a cancellation.
  void noteNothing();

  // The server refused the request as overloaded or cold, or the connection failed. The server's
  // Retry-After hint lengthens the wait. Failures of requests sent before the gate closed don't.
  // There is no jitter: one dispatcher sends to the server.
  void noteFailure(std::optional<base::Duration> hint, base::TimePoint now);

private:
  requests::Backoff backoff_;
  unsigned failures_ = 0;
  bool probing_ = false;
  base::TimePoint closedUntil_{};
};

} // namespace sycamore::admission
