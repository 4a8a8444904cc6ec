#include <dispatch/ColdStartShare.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Requests may arrive closer together than they were sent, so the window is slightly longer than
// the one second of the bound.
constexpr base::Duration kWindow = base::milliseconds(1100);
// Share of the rate that is used when the requests of many entry VMs are spread only by their
// random phases.
constexpr double kRandomSpreadShare = 0.6;

} // namespace

ColdStartShare::ColdStartShare(double phase)
  : phase_(phase)
{
}

bool ColdStartShare::tryTake(double perSecond, std::size_t entryVms, base::TimePoint now)
{
  double ownRate = perSecond / static_cast<double>(entryVms == 0 ? 1 : entryVms);
  if (ownRate <= 0) {
    return false;
  }
  base::Duration window = kWindow;
  if (ownRate < 1) {
    ownRate *= kRandomSpreadShare;
    window = std::chrono::duration_cast<base::Duration>(kWindow * (1.0 / ownRate));
    firstRequestAt_ = firstRequestAt_ == base::TimePoint{} ? now : firstRequestAt_;
    if (now < firstRequestAt_ + std::chrono::duration_cast<base::Duration>(window * phase_)) {
      return false;
    }
  }
  while (!sent_.empty() && sent_.front() + window <= now) {
    sent_.pop_front();
  }
  if (static_cast<double>(sent_.size()) + 1 > std::max(1.0, ownRate)) {
    return false;
  }
  sent_.push_back(now);
  return true;
}

} // namespace sycamore::dispatch
