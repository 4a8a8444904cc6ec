#pragma once

#include <base/Time.h>

#include <cstddef>
#include <deque>

namespace sycamore::dispatch {

// Limits this entry VM to its share of the request rate of a cold server, without messages between
// entry VMs. If each VM's share is at least one request per second, the total rate is bounded in
// every second. With more VMs, each sends less than once per second at a random phase, so that the
// bound holds only statistically.
class ColdStartShare
{
public:
  // `phase` in [0, 1) sets the time of the first request of a VM whose share is below one per
  // second.
  explicit ColdStartShare(double phase);

  // Returns whether a request may be sent now, and counts it if so. `perSecond` is the number of
  // requests that all entry VMs together may send in any second.
  bool tryTake(double perSecond, std::size_t entryVms, base::TimePoint now);

private:
  double phase_;
  // Time of the first call of tryTake() with a share below one request per second.
  base::TimePoint firstRequestAt_{};
  // Times of the requests sent within the last window.
  std::deque<base::TimePoint> sent_;
};

} // namespace sycamore::dispatch
