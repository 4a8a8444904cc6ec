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

// Identifies a request within one dispatcher process. Chosen by the dispatcher, never reused.
using WorkId = base::Strong<std::uint64_t, struct WorkIdTag>;

// Tracks which attempts hold the slots of one backend server. A slot is held until the attempt has
// certainly ended: by an answer, by a confirmed cancellation, or at the deadline by which the
// server has stopped working on it. Not thread-safe: the owner holds a mutex.
class SlotTable
{
public:
  explicit SlotTable(unsigned slots);
  SlotTable(const SlotTable&) = delete;
  SlotTable& operator=(const SlotTable&) = delete;

  // Takes a slot. Returns false if all slots are held or this id already holds one.
  bool tryAcquire(WorkId work);

  // Frees the slot of an attempt that has certainly ended. Unknown ids are ignored.
  void release(WorkId work);

  // Marks an attempt that the dispatcher no longer waits for. The server may still run it, so its
  // slot stays held until release() or until `heldUntil`.
  void abandon(WorkId work, base::TimePoint heldUntil);

  // Frees the slots of abandoned attempts whose hold time has passed, and returns their ids.
  std::vector<WorkId> releaseExpired(base::TimePoint now);

  // Returns the time at which the next slot of an abandoned attempt is freed.
  std::optional<base::TimePoint> nextReleaseAt() const;

  // May be lower than the number of held slots; no slot is given then until enough are released.
  void setSlots(unsigned slots) { slots_ = slots; }

  unsigned slots() const { return slots_; }
  std::size_t heldCount() const { return held_.size(); }
  bool holds(WorkId work) const { return held_.contains(work); }

private:
  using Abandoned = std::multimap<base::TimePoint, WorkId>;

  unsigned slots_;
  // The value is the entry in abandoned_, if the attempt has been abandoned.
  std::unordered_map<WorkId, std::optional<Abandoned::iterator>> held_;
  Abandoned abandoned_;
};

} // namespace sycamore::admission
