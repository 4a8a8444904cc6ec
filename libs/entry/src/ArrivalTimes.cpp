#include <entry/ArrivalTimes.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Enough for the bytes that are read ahead on one connection in pieces of 8 kB.
constexpr std::size_t kMaxArrivals = 64;

} // namespace

void ArrivalTimes::onBytes(std::uint64_t count, base::TimePoint now)
{
  total_ += count;
  lastTime_ = now;
  const bool isSameTime = !arrivals_.empty() && arrivals_.back().time == now;
  if (isSameTime || arrivals_.size() >= kMaxArrivals) {
    arrivals_.back().end = total_;
  } else {
    arrivals_.push_back({ total_, now });
  }
}

base::TimePoint ArrivalTimes::timeOf(std::uint64_t position)
{
  const auto endsAfter = [position](const Arrival& arrival) { return arrival.end > position; };
  arrivals_.erase(arrivals_.begin(), std::ranges::find_if(arrivals_, endsAfter));
  return arrivals_.empty() ? lastTime_ : arrivals_.front().time;
}

} // namespace sycamore::entry
