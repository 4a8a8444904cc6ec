#pragma once

#include <base/Time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace sycamore::quality {

// Runs callbacks in the order of their times on a manual clock. Not thread-safe.
class EventLoop
{
public:
  base::TimePoint now() const { return clock_.now(); }

  void at(base::TimePoint time, std::function<void()> callback)
  {
    events_.push({ time, ++sequence_, std::move(callback) });
  }

  void after(base::Duration delay, std::function<void()> callback)
  {
    at(now() + delay, std::move(callback));
  }

  // Runs all callbacks due up to `end`, then sets the clock to `end`.
  void runUntil(base::TimePoint end)
  {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      clock_.set(event.time);
      event.callback();
    }
    clock_.set(end);
  }

private:
  struct Event
  {
    base::TimePoint time;
    std::uint64_t sequence = 0;
    std::function<void()> callback;

    // Orders the priority queue by time, and by order of scheduling at equal times.
    bool operator<(const Event& other) const
    {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  base::ManualClock clock_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

} // namespace sycamore::quality
