#include <dispatch/KeyTrust.h>

namespace sycamore::dispatch {

namespace {

// Time by which the copy may be older than shown: before the store cuts its watches, they may miss
// changes for about a second while they are still answered.
constexpr base::Duration kMissedWatchTime = base::milliseconds(1100);
// Age of the copy up to which an unknown key is refused for good. A new key has to be in force
// within a time that is longer by more than `kMissedWatchTime`.
constexpr base::Duration kMaxRejectAge = base::milliseconds(1400);

} // namespace

KeyTrust::KeyTrust(std::optional<base::Duration> withdrawal)
{
  if (withdrawal) {
    maxAge_ = *withdrawal - kMissedWatchTime;
  }
}

bool KeyTrust::mayAccept(base::TimePoint currentAt, base::TimePoint now) const
{
  return !maxAge_ || (currentAt != base::TimePoint{} && now < currentAt + *maxAge_);
}

bool KeyTrust::mayReject(base::TimePoint currentAt, base::TimePoint now) const
{
  return currentAt != base::TimePoint{} && now < currentAt + kMaxRejectAge;
}

} // namespace sycamore::dispatch
