#pragma once

#include <base/Time.h>

#include <algorithm>

namespace sycamore::dispatch {

// Tells how old a copy of objects in the store may be. Only an answered call for these objects
// shows that the copy is current: a call that still waits shows nothing, and neither does an answer
// on another connection.
class CopyFreshness
{
public:
  // The copy was shown to hold all changes up to this time.
  void onShownCurrent(base::TimePoint at) { currentAt_ = std::max(currentAt_, at); }

  // Returns the time since the copy was last shown to be current, zero if it never was.
  base::Duration age(base::TimePoint now) const
  {
    return currentAt_ == base::TimePoint{} ? base::Duration::zero() : now - currentAt_;
  }

private:
  base::TimePoint currentAt_{};
};

} // namespace sycamore::dispatch
