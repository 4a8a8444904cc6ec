#include <requests/RetryBudget.h>

#include <algorithm>
#include <numeric>

namespace sycamore::requests {

namespace {

// Slightly less than 1, so that ten successes at a ratio of 0.1 add up to one retry despite
// rounding.
constexpr double kOneRetry = 1 - 1e-9;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
  : settings_(settings)
  , bucketLength_(std::max<base::Duration>(settings.window / kBuckets, base::Duration(1)))
  , initial_(settings.initial)
{
}

void RetryBudget::recordSuccess(base::TimePoint now)
{
  rotate(now);
  current(earned_) += settings_.ratio;
  current(unspent_) += settings_.ratio;
  withdrawOldestFirst(available(now) - settings_.burst);
}

bool RetryBudget::tryWithdraw(base::TimePoint now)
{
  if (available(now) < kOneRetry || !isWithinRate(now)) {
    return false;
  }
  current(spent_) += 1;
  withdrawOldestFirst(1);
  return true;
}

double RetryBudget::available(base::TimePoint now)
{
  rotate(now);
  return std::accumulate(unspent_.begin(), unspent_.end(), initial_);
}

// Returns whether one more retry stays within the limit for the last tenth of the window. Estimates
// the retries spent in it on the assumption that those of each bucket are spread evenly over it.
bool RetryBudget::isWithinRate(base::TimePoint now) const
{
  const auto index = static_cast<std::size_t>(currentBucket_);
  const base::Duration elapsed = now.time_since_epoch() % bucketLength_;
  const double part =
    static_cast<double>(elapsed.count()) / static_cast<double>(bucketLength_.count());
  const double recent =
    spent_[index % kBuckets] + spent_[(index + kBuckets - 1) % kBuckets] * (1 - part);
  const double earnedPerBucket = std::accumulate(earned_.begin(), earned_.end(), 0.0) / kBuckets;
  return recent + 1 <= std::max(std::max(1.0, settings_.initial), earnedPerBucket) + 1e-9;
}

double& RetryBudget::current(Buckets& buckets)
{
  return buckets[static_cast<std::size_t>(currentBucket_) % kBuckets];
}

void RetryBudget::withdrawOldestFirst(double amount)
{
  const auto take = [&amount](double& source) {
    const double part = std::clamp(amount, 0.0, source);
    source -= part;
    amount -= part;
  };
  for (std::size_t i = 1; i <= kBuckets; ++i) {
    take(unspent_[(static_cast<std::size_t>(currentBucket_) + i) % kBuckets]);
  }
  take(initial_);
}

void RetryBudget::rotate(base::TimePoint now)
{
  const std::int64_t bucket = now.time_since_epoch() / bucketLength_;
  const std::int64_t first =
    std::max(currentBucket_ + 1, bucket - static_cast<std::int64_t>(kBuckets) + 1);
  for (std::int64_t expired = first; expired <= bucket; ++expired) {
    const std::size_t index = static_cast<std::size_t>(expired) % kBuckets;
    earned_[index] = unspent_[index] = spent_[index] = 0;
  }
  currentBucket_ = std::max(currentBucket_, bucket);
}

} // namespace sycamore::requests
