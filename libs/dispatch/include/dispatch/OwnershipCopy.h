#pragma once

#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RevisionLag.h>

#include <cstdint>
#include <map>
#include <memory>

namespace sycamore::dispatch {

// A change of the ownership record, as the coordinator tells it to the other entry VMs.
struct OwnershipDelta
{
  // Revisions of the record before and after the change.
  std::uint64_t previous = 0;
  std::uint64_t revision = 0;
  // The ranges that have another owner now.
  std::map<base::ServiceId, KeyRanges> changes;
  // The coordinator after the change, and its epoch.
  Coordinator coordinator;
  std::uint64_t epoch = 0;
};

struct OwnershipCopySettings
{
  // Time for a delta to arrive, before a newer revision is read from the store.
  base::Duration deltaArrivalTimeout = base::milliseconds(150);
  // Time without a word of the coordinator after which the store is asked now and then.
  base::Duration coordinatorTimeout = base::milliseconds(1500);
  // Time between two reads.
  base::Duration readInterval = base::milliseconds(2000);
  // The same while the VM knows that its copy is old, or has none.
  base::Duration urgentReadInterval = base::milliseconds(500);
};

// An entry VM's copy of the ownership record. The coordinator's deltas keep it up to date, so that
// no VM has to watch the store for each move of keys; whatever a lost delta or a silent coordinator
// hides is read from the store.
class OwnershipCopy
{
public:
  OwnershipCopy(OwnershipCopySettings settings, base::TimePoint now);

  // Null until the record was read.
  const std::shared_ptr<const OwnershipRecord>& record() const { return record_; }
  std::uint64_t revision() const { return lag_.complete(); }
  // Whether a newer record is known to exist.
  bool isBehind() const { return lag_.isBehind(); }

  // The record as the store holds it. False if the copy is as new.
  bool onRecordRead(OwnershipRecord record, std::uint64_t revision);

  // False if the delta doesn't follow on the copy.
  bool applyDelta(const OwnershipDelta& delta, base::TimePoint now);

  // The coordinator is alive, and the record has this revision.
  void onRevisionAnnounced(std::uint64_t revision, base::TimePoint now);

  // Whether to read the record now. The read counts as begun.
  bool beginReadIfDue(base::TimePoint now);

private:
  OwnershipCopySettings settings_;
  std::shared_ptr<const OwnershipRecord> record_;
  RevisionLag lag_;
  base::TimePoint lastAnnouncementAt_;
  base::TimePoint lastReadAt_{};
};

// Gives the keys of some ranges new owners.
void replaceRanges(KeyRanges& ranges, const KeyRanges& changes);

} // namespace sycamore::dispatch
