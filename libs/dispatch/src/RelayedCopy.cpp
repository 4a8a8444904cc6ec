#include <dispatch/RelayedCopy.h>

#include <algorithm>

namespace sycamore::dispatch {

void RelayedCopy::noteRelay(std::uint64_t revision, base::TimePoint now)
{
  relayedUntil_ = now + settings_.silence;
  if (revision > complete_ && revision > announced_) {
    readAt_ = std::max(readAt_, now + settings_.changeTime);
  }
  announced_ = std::max(announced_, revision);
}

bool RelayedCopy::noteChange(const ChangePart& part)
{
  if (part.revision <= complete_ || part.previous > complete_) {
    return false;
  }
  if (partsOf_ != part.revision) {
    partsOf_ = part.revision;
    parts_.clear();
  }
  parts_.insert(part.part);
  if (parts_.size() == part.parts) {
    complete_ = part.revision;
    parts_.clear();
  }
  return true;
}

void RelayedCopy::noteRead(std::uint64_t revision)
{
  complete_ = std::max(complete_, revision);
}

bool RelayedCopy::mustRead(base::TimePoint now)
{
  if (announced_ <= complete_ || now < readAt_) {
    return false;
  }
  readAt_ = now + settings_.readInterval;
  return true;
}

} // namespace sycamore::dispatch
