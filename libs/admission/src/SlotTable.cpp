#include <admission/SlotTable.h>

namespace sycamore::admission {

SlotTable::SlotTable(unsigned slots)
  : slots_(slots)
{
}

bool SlotTable::tryAcquire(WorkId work)
{
  if (held_.size() >= slots_) {
    return false;
  }
  return held_.try_emplace(work).second;
}

void SlotTable::release(WorkId work)
{
  const auto held = held_.find(work);
  if (held == held_.end()) {
    return;
  }
  if (held->second) {
    abandoned_.erase(*held->second);
  }
  held_.erase(held);
}

void SlotTable::abandon(WorkId work, base::TimePoint heldUntil)
{
  const auto held = held_.find(work);
  if (held != held_.end() && !held->second) {
    held->second = abandoned_.emplace(heldUntil, work);
  }
}

std::vector<WorkId> SlotTable::releaseExpired(base::TimePoint now)
{
  std::vector<WorkId> ended;
  while (!abandoned_.empty() && abandoned_.begin()->first <= now) {
    ended.push_back(abandoned_.begin()->second);
    release(ended.back());
  }
  return ended;
}

std::optional<base::TimePoint> SlotTable::nextReleaseAt() const
{
  return abandoned_.empty() ? std::nullopt : std::optional(abandoned_.begin()->first);
}

} // namespace sycamore::admission
