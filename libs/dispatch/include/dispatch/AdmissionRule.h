#pragma once

#include <base/Time.h>

#include <optional>

namespace sycamore::dispatch {

struct AdmissionSettings
{
  // A request is sent if its expected latency is at most this share of the time left until its
  // target latency.
  double targetShare = 1.1;
  // A request that can no longer meet its target latency is sent if its expected latency is at most
  // this share of the time left until the caller's timeout.
  double deadlineShare = 0.0;
  // Bounds of the delay after which refused callers are asked to retry.
  base::Duration minRetryDelay = base::milliseconds(40);
  base::Duration maxRetryDelay = std::chrono::seconds(1);
};

// Decides whether a request is sent to a server with a queue. Under overload it keeps queues short
// enough that the requests sent finish in time, and refuses the rest at once, so that their callers
// don't wait for an answer that would come too late.
class AdmissionRule
{
public:
  explicit AdmissionRule(AdmissionSettings settings = {});

  // Returns nothing if the request should be sent, otherwise the delay after which the caller may
  // retry. `targetLeft` is the time left until the target latency, `timeLeft` the time left until
  // the caller's timeout. `jitter` in [0, 1) spreads the retries of different callers.
  std::optional<base::Duration> retryDelayIfRefused(base::Duration expectedLatency,
                                                    base::Duration targetLeft,
                                                    base::Duration timeLeft,
                                                    double jitter) const;

  // Returns the retry delay for a server that can't be reached or has no room.
  base::Duration retryDelay(base::Duration excess, double jitter) const;

private:
  AdmissionSettings settings_;
};

} // namespace sycamore::dispatch
