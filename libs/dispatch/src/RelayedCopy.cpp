#include <dispatch/RelayedCopy.h>

namespace sycamore::dispatch {

void RelayedCopy::noteRelay(std::uint64_t revision, base::TimePoint now)
{
  relayedUntil_ = now + settings_.silence;
  lag_.noteAnnounced(revision, now);
}

bool RelayedCopy::noteChange(const ChangePart& part)
{
  if (part.revision <= lag_.complete() || part.previous > lag_.complete()) {
    return false;
  }
  if (partsOf_ != part.revision) {
    partsOf_ = part.revision;
    parts_.clear();
  }
  parts_.insert(part.part);
  if (parts_.size() == part.parts) {
    lag_.noteComplete(part.revision);
    parts_.clear();
  }
  return true;
}

void RelayedCopy::noteRead(std::uint64_t revision)
{
  lag_.noteComplete(revision);
}

bool RelayedCopy::mustRead(base::TimePoint now)
{
  if (!lag_.isOverdue(settings_.changeTime, now) || now < nextRead_) {
    return false;
  }
  nextRead_ = now + settings_.readInterval;
  return true;
}

} // namespace sycamore::dispatch
