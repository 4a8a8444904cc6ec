#pragma once

#include <base/Time.h>
#include <requests/LatencyWindow.h>
#include <requests/RetryBudget.h>

#include <optional>

namespace sycamore::requests {

struct HedgeSettings
{
  // Quantile of recent latencies after which a second attempt starts.
  double quantile = 0.95;
  // Hedges earned per success. Together with a retry ratio of 0.1, the total stays below the limit
  // of 1.2 times the offered load.
  double ratio = 0.05;
  // Largest number of hedges that can accumulate.
  double burst = 10;
};

// Decides on a second attempt at another server while the first is still running. Only for
// idempotent methods of services that are not sharded by key, since a key has one owner. Not
// thread-safe: the owner holds a mutex.
class HedgePolicy
{
public:
  explicit HedgePolicy(HedgeSettings settings = {});

  // Records a request that succeeded, with its latency since its first attempt.
  void recordSuccess(base::Duration latency, base::TimePoint now);

  // Returns the time at which to consider a second attempt for a request sent at `sentAt`. Nothing
  // if the request is not idempotent, if there are too few latency samples, or if that time is not
  // before the deadline.
  std::optional<base::TimePoint> hedgeAt(bool idempotent,
                                         base::TimePoint sentAt,
                                         base::TimePoint deadline) const;

  // Withdraws one hedge from the budget, once that time has come. Returns false if none may be
  // sent.
  bool tryHedge(base::TimePoint now);

private:
  HedgeSettings settings_;
  LatencyWindow latencies_;
  RetryBudget budget_;
};

} // namespace sycamore::requests
