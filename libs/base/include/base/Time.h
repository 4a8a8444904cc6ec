#pragma once

#include <chrono>
#include <concepts>

namespace sycamore::base {

// Monotonic time since an unspecified start, in nanoseconds. Not comparable between machines.
struct MonotonicTag
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTag, duration>;
};

using TimePoint = MonotonicTag::time_point;
using Duration = std::chrono::nanoseconds;
using std::chrono::milliseconds;

// A source of monotonic time. Decision logic takes times as arguments; only the outermost layer of
// a program reads a clock.
template<typename T>
concept Clock = requires(const T& clock)
{
  {
    clock.now()
    } -> std::same_as<TimePoint>;
};

// The host's monotonic clock. Thread-safe.
class SteadyClock
{
public:
  TimePoint now() const
  {
    return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
  }
};

// A clock that tests set and advance explicitly. Not thread-safe.
class ManualClock
{
public:
  TimePoint now() const { return now_; }
  void advance(Duration by) { now_ += by; }
  void set(TimePoint now) { now_ = now; }

private:
  TimePoint now_{ std::chrono::seconds(1000) };
};

static_assert(Clock<SteadyClock>);
static_assert(Clock<ManualClock>);

} // namespace sycamore::base
