#pragma once

#include <base/Time.h>

#include <optional>

namespace sycamore::dispatch {

struct AdmissionSettings
{
  // Expected latency up to which a request is sent, as a share of what is left of its target
  // latency.
  double targetShare = 1.1;
  // The same as a share of the time left until the caller gives up, for requests whose target can't
  // be met any more.
  double deadlineShare = 0.0;
  // Shortest and longest time after which refused callers are told to return.
  base::Duration minRetryDelay = base::milliseconds(40);
  base::Duration maxRetryDelay = std::chrono::seconds(1);
};

// Decides whether a request is sent to a server with a queue, for loads above what the servers can
// run: queues stay so short that those who are sent finish in time, and the rest are refused at
// once instead of waiting in vain.
class AdmissionRule
{
public:
  explicit AdmissionRule(AdmissionSettings settings = {});

  // Nothing if the request is to be sent; else the time after which the caller may return.
  // `targetLeft` is the time until the target latency has passed, `timeLeft` that until the caller
  // gives up. `spread` in [0, 1) distributes returns.
  std::optional<base::Duration> retryDelayIfRefused(base::Duration expectedLatency,
                                                    base::Duration targetLeft,
                                                    base::Duration timeLeft,
                                                    double spread) const;

  // When to return to a server that can't be reached or has no room.
  base::Duration retryDelay(base::Duration excess, double spread) const;

private:
  AdmissionSettings settings_;
};

} // namespace sycamore::dispatch
