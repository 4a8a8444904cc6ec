#pragma once

#include <base/StrongType.h>
#include <base/Time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamore::admission {

// A request inside one dispatcher process. Chosen by the dispatcher, never used twice.
using WorkId = base::Strong<std::uint64_t, struct WorkIdTag>;

// Counts the requests on one backend server. A slot is held until the end of its attempt is
// certain: an answer, a confirmed cancellation, or the deadline by which the server has stopped
// working on it. Not thread-safe: the owner holds a mutex.
class SlotGate
{
public:
  explicit SlotGate(unsigned slots);
  SlotGate(const SlotGate&) = delete;
  SlotGate& operator=(const SlotGate&) = delete;

  // Takes a slot. False when all are held.
  bool tryAcquire(WorkId work);

  // The attempt has certainly ended. Unknown ids are ignored.
  void release(WorkId work);

  // Nobody waits for the attempt any more, but the server may still run it: its slot stays held
  // until release() or until `until`.
  void abandon(WorkId work, base::TimePoint until);

  // Frees the slots of abandoned attempts that have ended by now, and returns these.
  std::vector<WorkId> releaseEnded(base::TimePoint now);

  // When the next abandoned slot becomes free.
  std::optional<base::TimePoint> nextRelease() const;

  // Fewer slots than are held is allowed; no new one is given until enough are released.
  void setSlots(unsigned slots) { slots_ = slots; }

  unsigned slots() const { return slots_; }
  std::size_t held() const { return held_.size(); }
  bool holds(WorkId work) const { return held_.contains(work); }

private:
  using Abandoned = std::multimap<base::TimePoint, WorkId>;

  unsigned slots_;
  // With the entry in abandoned_ for an attempt that nobody waits for.
  std::unordered_map<WorkId, std::optional<Abandoned::iterator>> held_;
  Abandoned abandoned_;
};

} // namespace sycamore::admission
