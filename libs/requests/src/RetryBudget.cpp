#include <requests/RetryBudget.h>

#include <algorithm>
#include <numeric>

namespace sycamore::requests {

namespace {

// Ten successes at a ratio of 0.1 must add up to one retry despite rounding.
constexpr double kOne = 1 - 1e-9;

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
  current(left_) += settings_.ratio;
  takeOldest(available(now) - settings_.burst);
}

bool RetryBudget::tryWithdraw(base::TimePoint now)
{
  if (available(now) < kOne || !withinPace(now)) {
    return false;
  }
  current(spent_) += 1;
  takeOldest(1);
  return true;
}

double RetryBudget::available(base::TimePoint now)
{
  rotate(now);
  return std::accumulate(left_.begin(), left_.end(), initial_);
}

// Spent in the last tenth of the window, as if evenly within each bucket.
bool RetryBudget::withinPace(base::TimePoint now) const
{
  const auto index = static_cast<std::size_t>(currentBucket_);
  const base::Duration into = now.time_since_epoch() % bucketLength_;
  const double part =
    static_cast<double>(into.count()) / static_cast<double>(bucketLength_.count());
  const double recent =
    spent_[index % kBuckets] + spent_[(index + kBuckets - 1) % kBuckets] * (1 - part);
  const double pace = std::accumulate(earned_.begin(), earned_.end(), 0.0) / kBuckets;
  return recent + 1 <= std::max(std::max(1.0, settings_.initial), pace) + 1e-9;
}

double& RetryBudget::current(Buckets& buckets)
{
  return buckets[static_cast<std::size_t>(currentBucket_) % kBuckets];
}

void RetryBudget::takeOldest(double amount)
{
  const auto take = [&amount](double& source) {
    const double part = std::clamp(amount, 0.0, source);
    source -= part;
    amount -= part;
  };
  for (std::size_t i = 1; i <= kBuckets; ++i) {
    take(left_[(static_cast<std::size_t>(currentBucket_) + i) % kBuckets]);
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
    earned_[index] = left_[index] = spent_[index] = 0;
  }
  currentBucket_ = std::max(currentBucket_, bucket);
}

} // namespace sycamore::requests
