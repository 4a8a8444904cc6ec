#pragma once

#include <admission/SlotGate.h>
#include <base/Time.h>

#include <cstddef>
#include <string>

namespace sycamore::admission {

// A request waiting for a slot.
struct QueuedWork
{
  WorkId id;
  // What the queue is fair over within a service: the caller's name, or the key.
  std::string flow;
  base::TimePoint deadline;
  // Buffered bytes of the request.
  std::size_t bytes = 0;
  // Must not share its server (see Quarantine).
  bool exclusive = false;
  // Longest wait before it is refused, so that another server can be tried. For services that are
  // not divided by key; the last try has no limit.
  base::Duration maxWait = base::Duration::max();
};

} // namespace sycamore::admission
