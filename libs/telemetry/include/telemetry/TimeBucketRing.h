#pragma once

#include <base/Time.h>

#include <cstdint>
#include <vector>

namespace sycamore::telemetry {

// Ring buffer with one value for each of the last `count` time buckets. Buckets are numbered
// backwards from the one that contains `now`, which is bucket 0. Adjacent ranges of buckets do not
// overlap and leave no gap: each value is in exactly one of them. Not thread-safe.
template<typename T>
class TimeBucketRing
{
public:
  TimeBucketRing(base::Duration width, std::size_t count)
    : width_(width)
    , slots_(count)
  {
  }

  // Returns the value of the bucket that contains `time`, or null if that bucket has already been
  // overwritten by a newer one.
  T* bucketAt(base::TimePoint time)
  {
    const std::int64_t index = indexOf(time);
    Slot& slot = slotOf(index);
    if (slot.index > index) {
      return nullptr;
    }
    if (slot.index < index) {
      slot.value = T{};
      slot.index = index;
    }
    return &slot.value;
  }

  // Calls visitor(value) for the non-empty buckets in [first, last), counted backwards from now.
  template<typename Visitor>
  void visit(base::TimePoint now, std::size_t first, std::size_t last, Visitor visitor) const
  {
    const std::int64_t current = indexOf(now);
    for (std::size_t back = first; back < last && back < slots_.size(); ++back) {
      const std::int64_t index = current - static_cast<std::int64_t>(back);
      const Slot& slot = slotOf(index);
      if (slot.index == index) {
        visitor(slot.value);
      }
    }
  }

  // Returns the sum of the buckets in [first, last).
  T sum(base::TimePoint now, std::size_t first, std::size_t last) const
  {
    T result{};
    visit(now, first, last, [&](const T& value) { result += value; });
    return result;
  }

private:
  struct Slot
  {
    std::int64_t index = INT64_MIN;
    T value{};
  };

  std::int64_t indexOf(base::TimePoint time) const
  {
    const std::int64_t ticks = time.time_since_epoch().count();
    const std::int64_t quotient = ticks / width_.count();
    return ticks % width_.count() < 0 ? quotient - 1 : quotient;
  }
  std::size_t slotPosition(std::int64_t index) const
  {
    const auto size = static_cast<std::int64_t>(slots_.size());
    return static_cast<std::size_t>(((index % size) + size) % size);
  }
  Slot& slotOf(std::int64_t index) { return slots_[slotPosition(index)]; }
  const Slot& slotOf(std::int64_t index) const { return slots_[slotPosition(index)]; }

  const base::Duration width_;
  std::vector<Slot> slots_;
};

} // namespace sycamore::telemetry
