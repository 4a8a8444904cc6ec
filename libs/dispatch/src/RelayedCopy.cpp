#include <dispatch/RelayedCopy.h>

namespace sycamore::dispatch {

void RelayedCopy::onRelayAnnouncement(std::uint64_t revision, base::TimePoint now)
{
  relayTimeoutAt_ = now + settings_.relayTimeout;
  lag_.advanceAnnounced(revision, now);
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

bool RelayedCopy::beginReadIfDue(base::TimePoint now)
{
  if (!lag_.isOverdue(settings_.changeArrivalTimeout, now) || now < nextReadAt_) {
    return false;
  }
  nextReadAt_ = now + settings_.readInterval;
  return true;
}

} // namespace sycamore::dispatch
