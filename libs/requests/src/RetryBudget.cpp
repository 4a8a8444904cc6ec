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

void RetryBudget::noteSuccess(base::TimePoint now)
{
  const double room = settings_.burst - available(now);
  if (room > 0) {
    earned_[static_cast<std::size_t>(currentBucket_) % kBuckets] += std::min(settings_.ratio, room);
  }
}

bool RetryBudget::tryWithdraw(base::TimePoint now)
{
  if (available(now) < kOne) {
    return false;
  }
  double due = 1;
  const auto spend = [&due](double& source) {
    const double part = std::min(due, source);
    source -= part;
    due -= part;
  };
  for (std::size_t i = 1; i <= kBuckets; ++i) {
    spend(earned_[(static_cast<std::size_t>(currentBucket_) + i) % kBuckets]);
  }
  spend(initial_);
  return true;
}

double RetryBudget::available(base::TimePoint now)
{
  rotate(now);
  return std::accumulate(earned_.begin(), earned_.end(), initial_);
}

void RetryBudget::rotate(base::TimePoint now)
{
  const std::int64_t bucket = now.time_since_epoch() / bucketLength_;
  const std::int64_t first =
    std::max(currentBucket_ + 1, bucket - static_cast<std::int64_t>(kBuckets) + 1);
  for (std::int64_t expired = first; expired <= bucket; ++expired) {
    earned_[static_cast<std::size_t>(expired) % kBuckets] = 0;
  }
  currentBucket_ = std::max(currentBucket_, bucket);
}

} // namespace sycamore::requests
