#include "Capacity.h"

#include <algorithm>

namespace sycamore::backend_stub {

Capacity::Capacity(const Limits& limits, base::TimePoint now)
  : limits_(limits)
  , coldUntil_(now + limits.coldPeriod)
{
}

Capacity::Slot Capacity::acquire(base::TimePoint now, std::string& reason)
{
  const std::lock_guard lock(mutex_);
  if (now < coldUntil_ && inFlight_ >= limits_.coldLimit) {
    ++coldOverloads_;
    coldUntil_ = now + limits_.coldPeriod;
    reason = "cold";
    return nullptr;
  }
  if (inFlight_ >= limits_.slots) {
    ++slotsExceeded_;
    reason = "overloaded";
    return nullptr;
  }
  ++inFlight_;
  maxInFlight_ = std::max(maxInFlight_, inFlight_);
  return { this, [](Capacity* capacity) { capacity->freeSlot(); } };
}

void Capacity::freeSlot()
{
  const std::lock_guard lock(mutex_);
  --inFlight_;
}

void Capacity::makeCold(base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  coldUntil_ = now + limits_.coldPeriod;
}

bool Capacity::isCold(base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  return now < coldUntil_;
}

unsigned Capacity::inFlight() const
{
  const std::lock_guard lock(mutex_);
  return inFlight_;
}

nlohmann::json Capacity::counts() const
{
  const std::lock_guard lock(mutex_);
  return { { "in_flight", inFlight_ },
           { "max_in_flight", maxInFlight_ },
           { "slots_exceeded", slotsExceeded_ },
           { "cold_overloads", coldOverloads_ } };
}

} // namespace sycamore::backend_stub
