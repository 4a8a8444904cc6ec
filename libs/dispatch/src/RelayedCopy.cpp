#include <dispatch/RelayedCopy.h>

#include <algorithm>

namespace sycamore::dispatch {

void RelayedCopy::onRelayAnnouncement(std::uint64_t revision, base::TimePoint now)
{
  relayTimeoutAt_ = now + settings_.relayTimeout;
  standbyTimeoutAt_ = now + settings_.standbyTimeout;
  standbyEndsAt_ = now + settings_.maxStandby;
  lag_.advanceAnnounced(revision, now);
}

void RelayedCopy::onCoordinatorHeard(base::TimePoint now)
{
  standbyTimeoutAt_ =
    std::max(standbyTimeoutAt_, std::min(standbyEndsAt_, now + settings_.standbyTimeout));
}

bool RelayedCopy::onChangePart(const ChangePart& part)
{
  if (part.revision <= lag_.complete() || part.previous > lag_.complete()) {
    return false;
  }
  if (partsRevision_ != part.revision) {
    partsRevision_ = part.revision;
    receivedParts_.clear();
  }
  receivedParts_.insert(part.part);
  if (receivedParts_.size() == part.parts) {
    lag_.advanceComplete(part.revision);
    receivedParts_.clear();
  }
  return true;
}

void RelayedCopy::onRead(std::uint64_t revision)
{
  lag_.advanceComplete(revision);
}

bool RelayedCopy::isReadDue(base::TimePoint now) const
{
  return lag_.isOverdue(settings_.changeArrivalTimeout, now) && now >= nextReadAt_;
}

bool RelayedCopy::beginReadIfDue(base::TimePoint now)
{
  if (!isReadDue(now)) {
    return false;
  }
  nextReadAt_ = now + settings_.readInterval;
  return true;
}

} // namespace sycamore::dispatch
