#pragma once

#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RevisionLag.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace sycamore::dispatch {

// A change of the ownership record, as the coordinator sends it to the other entry VMs.
struct OwnershipDelta
{
  // Revisions of the record before and after the change.
  std::uint64_t previous = 0;
  std::uint64_t revision = 0;
  // Ranges that have a new owner or fencing token.
  std::map<base::ServiceId, KeyRanges> changes;
  // The coordinator after the change, and its epoch.
  Coordinator coordinator;
  std::uint64_t epoch = 0;
  // Number of this part and of all parts. The ranges of one change may be sent in several parts.
  unsigned part = 0;
  unsigned parts = 1;
};

// Splits a delta into parts with at most this number of ranges each.
std::vector<OwnershipDelta> splitDelta(const OwnershipDelta& delta, std::size_t rangesPerPart);

struct OwnershipCopySettings
{
  // Time allowed for a delta to arrive before a newer revision is read from the store.
  base::Duration deltaArrivalTimeout = base::milliseconds(150);
  // Time without an announcement of the coordinator after which the store is read periodically.
  base::Duration coordinatorTimeout = base::milliseconds(1500);
  // Minimum interval between two reads.
  base::Duration readInterval = base::milliseconds(2000);
  // Minimum interval between two reads while the VM has no copy or knows that its copy is outdated.
  base::Duration urgentReadInterval = base::milliseconds(500);
};

// An entry VM's copy of the ownership record. The coordinator's deltas keep it up to date, so that
// no VM has to watch the store for each move of keys. Changes missed because of a lost delta or an
// unresponsive coordinator are read from the store.
class OwnershipCopy
{
public:
  OwnershipCopy(OwnershipCopySettings settings, base::TimePoint now);

  // Returns null until the record has been read.
  const std::shared_ptr<const OwnershipRecord>& record() const { return record_; }
  std::uint64_t revision() const { return lag_.complete(); }
  // Returns the newest revision that the coordinator has announced.
  std::uint64_t announcedRevision() const { return lag_.announced(); }
  // Returns whether a newer record is known to exist.
  bool isBehind() const { return lag_.isBehind(); }

  // The record was read from the store. Returns false if the copy is already as new.
  bool onRecordRead(OwnershipRecord record, std::uint64_t revision);

  // Applies a delta, or keeps its part until all have arrived. Returns whether the copy has
  // changed: false if parts are missing or the delta isn't based on the copy's revision.
  bool applyDelta(const OwnershipDelta& delta, base::TimePoint now);

  // The coordinator announced that the record has this revision.
  void onRevisionAnnounced(std::uint64_t revision, base::TimePoint now);

  // Returns whether to read the record now. If so, the read counts as started.
  bool beginReadIfDue(base::TimePoint now);

private:
  OwnershipCopySettings settings_;
  std::shared_ptr<const OwnershipRecord> record_;
  // Parts that have arrived of the change to revision `partsRevision_`, by number.
  std::map<unsigned, OwnershipDelta> receivedParts_;
  std::uint64_t partsRevision_ = 0;
  RevisionLag lag_;
  base::TimePoint lastAnnouncementAt_;
  base::TimePoint lastReadAt_{};
};

// Replaces the owners of the keys in `changes`, splitting ranges where needed.
void replaceRanges(KeyRanges& ranges, const KeyRanges& changes);

} // namespace sycamore::dispatch
