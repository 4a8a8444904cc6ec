#include <dispatch/RequestPause.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Bound of one pause. After it, a request shows whether the server still wants none, so that a
// faulty value doesn't put a server out of use for good.
constexpr base::Duration kMaxPause = std::chrono::minutes(2);

} // namespace

void RequestPause::onTurnedAway(base::Duration pause, base::TimePoint now)
{
  if (pause > base::Duration::zero()) {
    endsAt_ = std::max(endsAt_, now + std::min(pause, kMaxPause));
  }
}

base::Duration RequestPause::timeLeft(base::TimePoint now) const
{
  return std::max(base::Duration::zero(), endsAt_ - now);
}

} // namespace sycamore::dispatch
