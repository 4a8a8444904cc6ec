#pragma once

#include <base/Time.h>

#include <algorithm>

namespace sycamore::dispatch {

struct CopyFreshnessSettings
{
  // Time for which an answer shows that the copy can be relied on: that in which a change has to be
  // in force.
  base::Duration validity = std::chrono::seconds(2);
};

// Tells how old a copy of objects in the store may be, and whether other VMs may rely on it. Only
// an answered call for these objects shows that the copy is current: a call that still waits shows
// nothing, and neither does an answer on another connection.
class CopyFreshness
{
public:
  explicit CopyFreshness(CopyFreshnessSettings settings)
    : settings_(settings)
  {
  }

  // The copy was shown to hold all changes up to this time.
  void onShownCurrent(base::TimePoint at) { currentAt_ = std::max(currentAt_, at); }

  // Returns the time up to which the copy is shown to hold all changes; unset if it never was.
  base::TimePoint currentAt() const { return currentAt_; }

  bool isReliable(base::TimePoint now) const
  {
    return currentAt_ != base::TimePoint{} && now < currentAt_ + settings_.validity;
  }

  // Returns the time since the copy was last shown to be current, zero if it never was.
  base::Duration age(base::TimePoint now) const
  {
    return currentAt_ == base::TimePoint{} ? base::Duration::zero() : now - currentAt_;
  }

private:
  CopyFreshnessSettings settings_;
  base::TimePoint currentAt_{};
};

} // namespace sycamore::dispatch
