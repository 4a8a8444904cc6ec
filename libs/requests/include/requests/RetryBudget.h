#pragma once

#include <base/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::requests {

struct RetryBudgetSettings
{
  // Retries earned per success.
  double ratio = 0.1;
  // Largest number of retries that can accumulate.
  double burst = 100;
  // Retries available before the first success. They are not replenished.
  double initial = 3;
  // Successes older than this earn no retries, so that a long idle or failure-free period does not
  // allow a burst of retries to failing servers. The real window is up to a tenth longer.
  base::Duration window = std::chrono::seconds(10);
};

// Limits retries to a fraction of recent successes. If every server fails, retries end once those
// earned in the window are spent. Within a tenth of the window at most a tenth of them (but at
// least `initial`) can be spent, so that the start of an outage causes no burst either. Retries
// must be withdrawn from a budget at one layer only: the entry VM that received the request. Not
// thread-safe: the owner holds a mutex.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  // Records a request that succeeded.
  void recordSuccess(base::TimePoint now);

  // Withdraws one retry from the budget. Returns false if none may be spent now.
  bool tryWithdraw(base::TimePoint now);

  // Returns the number of unspent retries.
  double available(base::TimePoint now);

private:
  static constexpr std::size_t kBuckets = 10;

  using Buckets = std::array<double, kBuckets>;

  void rotate(base::TimePoint now);
  bool isWithinRate(base::TimePoint now) const;
  double& current(Buckets& buckets);
  void withdrawOldestFirst(double amount);

  RetryBudgetSettings settings_;
  base::Duration bucketLength_;
  std::int64_t currentBucket_ = 0;
  // Per tenth of the window: the retries earned, those of them not yet spent (the oldest are spent
  // first), and the retries spent.
  Buckets earned_{};
  Buckets unspent_{};
  Buckets spent_{};
  double initial_;
};

} // namespace sycamore::requests
