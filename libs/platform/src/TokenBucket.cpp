#include <platform/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace sycamore::platform {

namespace {

// The bucket must have room for a reserve besides the one token that a call takes, even at rates
// far below one per second.
constexpr double kMinCapacity = 2;

double seconds(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, double capacity, base::TimePoint now)
  : tokensPerSecond_(tokensPerSecond)
  , capacity_(std::max(kMinCapacity, capacity))
  , level_(capacity_)
  , refilledAt_(now)
{
}

void TokenBucket::setRate(double tokensPerSecond, double capacity, base::TimePoint now)
{
  refill(now);
  tokensPerSecond_ = tokensPerSecond;
  capacity_ = std::max(kMinCapacity, capacity);
  level_ = std::min(level_, capacity_);
}

bool TokenBucket::take(double reserve, base::TimePoint now)
{
  refill(now);
  // Tolerates rounding errors, so that a call is not refused at exactly the time of nextTakeAt().
  constexpr double kTolerance = 1e-6;
  if (level_ + kTolerance < 1 + reserve) {
    return false;
  }
  level_ -= 1;
  return true;
}

void TokenBucket::forceTake(double tokens, base::TimePoint now)
{
  refill(now);
  level_ = std::max(level_ - tokens, -capacity_);
}

base::TimePoint TokenBucket::nextTakeAt(double reserve, base::TimePoint now) const
{
  const double missingTokens = 1 + reserve - levelAt(now);
  if (missingTokens <= 0) {
    return now;
  }
  return now + base::Duration(static_cast<base::Duration::rep>(
                 std::ceil(missingTokens / tokensPerSecond_ * 1e9)));
}

double TokenBucket::levelAt(base::TimePoint now) const
{
  const double secondsPassed = std::max(0.0, seconds(now - refilledAt_));
  return std::min(capacity_, level_ + secondsPassed * tokensPerSecond_);
}

void TokenBucket::refill(base::TimePoint now)
{
  level_ = levelAt(now);
  refilledAt_ = std::max(refilledAt_, now);
}

} // namespace sycamore::platform
