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
// earned in the window are spent. Retries must draw on a budget at one layer only: the entry VM
// that received the request. Not thread-safe: the owner holds a mutex.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  // Counts a request that succeeded.
  void noteSuccess(base::TimePoint now);

  // Takes one retry out of the budget. False when there is none left.
  bool tryWithdraw(base::TimePoint now);

  // Retries that could be withdrawn now.
  double available(base::TimePoint now);

private:
  static constexpr std::size_t kBuckets = 10;

  void rotate(base::TimePoint now);

  RetryBudgetSettings settings_;
  base::Duration bucketLength_;
  std::int64_t currentBucket_ = 0;
  // Retries earned in each tenth of the window and not yet spent. The oldest are spent first.
  std::array<double, kBuckets> earned_{};
  double initial_;
};

} // namespace sycamore::requests
