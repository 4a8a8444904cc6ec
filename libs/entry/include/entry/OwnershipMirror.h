#pragma once

#include <entry/EventLog.h>
#include <entry/StoreClient.h>

#include <dispatch/OwnershipCopy.h>

#include <functional>
#include <memory>

namespace sycamore::entry {

// Keeps this VM's copy of the ownership record up to date, by the coordinator's deltas or by reads
// from the store. Control thread only.
class OwnershipMirror
{
public:
  // Notified when the copy has changed.
  using ChangedListener = std::function<void()>;

  // `store` and `log` have to outlive this object.
  OwnershipMirror(StoreClient& store, EventLog& log, ChangedListener changedListener);

  // Returns null until the record has been read.
  const std::shared_ptr<const dispatch::OwnershipRecord>& record() const { return copy_.record(); }
  std::uint64_t revision() const { return copy_.revision(); }

  // Adopts a record of the store with this revision, unless it is older than the copy.
  void adopt(dispatch::OwnershipRecord record, std::uint64_t revision);
  // A delta arrived from the coordinator.
  void onDelta(const dispatch::OwnershipDelta& delta, base::TimePoint now);
  // The coordinator announced that the record has this revision.
  void onRevisionAnnounced(std::uint64_t revision, base::TimePoint now)
  {
    copy_.onRevisionAnnounced(revision, now);
  }

  // Reads the record from the store if a read is due and the store may be called.
  void tick(base::TimePoint now);

private:
  void read(wire::ReadConsistency reading);
  void onRead(const StoreAnswer& answer, wire::ReadConsistency reading);
  void adoptObject(const StoreAnswer& answer, wire::ReadConsistency reading);

  StoreClient& store_;
  EventLog& log_;
  ChangedListener changedListener_;
  dispatch::OwnershipCopy copy_;
};

} // namespace sycamore::entry
