#pragma once

#include <base/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::requests {

struct RetryBudgetSettings
{
  // Retries allowed per success.
  double ratio = 0.1;
  // Most retries that can be saved up.
  double burst = 100;
  // Retries available before the first success. They are not replenished.
  double initial = 3;
  // Successes older than this earn no retries, so that a long quiet or good time does not pay for
  // a burst of retries onto failing servers. The real window is up to a tenth longer.
  base::Duration window = std::chrono::seconds(10);
};

// Limits retries to a share of recent successes. With every server failing, retries end once those
// earned in the window are spent; in a tenth of the window at most a tenth of them (but at least
// `initial`) can be, so that the first moments of an outage bring no burst either. Retries must
// draw on a budget at one layer only: the entry VM that received the request. Not thread-safe: the
// owner holds a mutex.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  // Counts a request that succeeded.
  void recordSuccess(base::TimePoint now);

  // Takes one retry out of the budget. False when there is none left.
  bool tryWithdraw(base::TimePoint now);

  // Retries saved up now.
  double available(base::TimePoint now);

private:
  static constexpr std::size_t kBuckets = 10;

  using Buckets = std::array<double, kBuckets>;

  void rotate(base::TimePoint now);
  bool withinPace(base::TimePoint now) const;
  double& current(Buckets& buckets);
  void takeOldest(double amount);

  RetryBudgetSettings settings_;
  base::Duration bucketLength_;
  std::int64_t currentBucket_ = 0;
  // Retries earned in each tenth of the window, and those of them not yet spent, of which the
  // oldest go first.
  Buckets earned_{};
  Buckets left_{};
  Buckets spent_{};
  double initial_;
};

} // namespace sycamore::requests
