#pragma once

#include <admission/SlotTable.h>
#include <base/Time.h>

#include <cstddef>
#include <string>

namespace sycamore::admission {

// A request that waits for a slot.
struct QueuedWork
{
  WorkId id;
  // Unit of fair queueing within a service: the caller's name, or the key.
  std::string flow;
  base::TimePoint deadline;
  // Size of the buffered request.
  std::size_t bytes = 0;
  // The request must not run beside others on its server (see requests::Quarantine).
  bool exclusive = false;
  // The request is refused if its estimated wait is longer than this, so that another server can be
  // tried. Used for services that are not sharded by key; the last attempt has no limit.
  base::Duration maxWait = base::Duration::max();
};

} // namespace sycamore::admission
