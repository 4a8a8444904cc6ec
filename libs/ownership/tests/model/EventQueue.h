#pragma once

#include <base/Time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sycamore::ownership::model {

// Runs events in the order of the model's real time, and events of the same time in the order in
// which they were posted.
class EventQueue
{
public:
  using Event = std::function<void()>;

  base::Duration now() const { return now_; }

  void at(base::Duration when, Event event)
  {
    queue_.push({ std::max(when, now_), next_++, std::move(event) });
  }

  void after(base::Duration delay, Event event) { at(now_ + delay, std::move(event)); }

  // Runs the next event. Returns false, and advances the time to the end, if no event is due by
  // then.
  bool step(base::Duration end)
  {
    if (queue_.empty() || queue_.top().when > end) {
      now_ = end;
      return false;
    }
    Entry entry = std::move(const_cast<Entry&>(queue_.top()));
    queue_.pop();
    now_ = entry.when;
    entry.event();
    return true;
  }

private:
  struct Entry
  {
    base::Duration when;
    std::uint64_t order;
    Event event;
    bool operator<(const Entry& other) const
    {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  std::priority_queue<Entry> queue_;
  base::Duration now_{};
  std::uint64_t next_ = 0;
};

} // namespace sycamore::ownership::model
