#pragma once

#include <base/Time.h>
#include <requests/LatencyWindow.h>
#include <requests/RetryBudget.h>

#include <optional>

namespace sycamore::requests {

struct HedgeSettings
{
  // A second attempt starts once the first takes longer than this share of recent requests.
  double quantile = 0.95;
  // Hedges allowed per success. With a retry budget of 0.1, both together stay below the limit of
  // 1.2 times the offered load.
  double ratio = 0.05;
  // Most hedges that can be saved up.
  double burst = 10;
};

// Decides on a second attempt at another server while the first is still running. It serves only
// idempotent methods of services that are not divided by key: a key has one owner. Not thread-safe:
// the owner holds a mutex.
class HedgePolicy
{
public:
  explicit HedgePolicy(HedgeSettings settings = {});

  // Counts a request that succeeded and its latency from its first attempt.
  void recordSuccess(base::Duration latency, base::TimePoint now);

  // When to consider a second attempt for a request sent at `sentAt`. Nothing if it is not
  // idempotent, if too little is known, or if the time is not before the deadline.
  std::optional<base::TimePoint> hedgeAt(bool idempotent,
                                         base::TimePoint sentAt,
                                         base::TimePoint deadline) const;

  // Takes one hedge out of the budget when that time has come. False: don't send it.
  bool tryHedge(base::TimePoint now);

private:
  HedgeSettings settings_;
  LatencyWindow latencies_;
  RetryBudget budget_;
};

} // namespace sycamore::requests
