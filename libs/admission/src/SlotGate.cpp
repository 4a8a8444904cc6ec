#include <admission/SlotGate.h>

namespace sycamore::admission {

SlotGate::SlotGate(unsigned slots)
  : slots_(slots)
{
}

bool SlotGate::tryAcquire(WorkId work)
{
  if (held_.size() >= slots_) {
    return false;
  }
  return held_.try_emplace(work).second;
}

void SlotGate::release(WorkId work)
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

void SlotGate::abandon(WorkId work, base::TimePoint until)
{
  const auto held = held_.find(work);
  if (held != held_.end() && !held->second) {
    held->second = abandoned_.emplace(until, work);
  }
}

std::vector<WorkId> SlotGate::releaseEnded(base::TimePoint now)
{
  std::vector<WorkId> ended;
  while (!abandoned_.empty() && abandoned_.begin()->first <= now) {
    ended.push_back(abandoned_.begin()->second);
    release(ended.back());
  }
  return ended;
}

std::optional<base::TimePoint> SlotGate::nextRelease() const
{
  return abandoned_.empty() ? std::nullopt : std::optional(abandoned_.begin()->first);
}

} // namespace sycamore::admission
