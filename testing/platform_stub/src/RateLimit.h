#pragma once

#include <base/Time.h>

#include <algorithm>
#include <mutex>

namespace sycamore::platform_stub {

// Token bucket that admits a number of calls per second, with a burst of a tenth of that number.
// Thread-safe.
class RateLimit
{
public:
  explicit RateLimit(double perSecond)
    : perSecond_(perSecond)
    , burst_(std::max(1.0, perSecond / 10))
    , tokens_(burst_)
  {
  }

  bool admit(base::TimePoint now)
  {
    const std::lock_guard lock(mutex_);
    const double seconds = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(burst_, tokens_ + std::max(0.0, seconds) * perSecond_);
    last_ = std::max(last_, now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  std::mutex mutex_;
  const double perSecond_;
  const double burst_;
  double tokens_;
  base::TimePoint last_{};
};

} // namespace sycamore::platform_stub
