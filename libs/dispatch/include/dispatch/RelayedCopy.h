#pragma once

#include <base/Time.h>
#include <dispatch/RevisionLag.h>

#include <cstdint>
#include <set>

namespace sycamore::dispatch {

struct RelaySettings
{
  // Time without an announcement of the relaying VM after which this VM watches the store itself. A
  // change that the relaying VM no longer sees must still be found within the time in which a
  // configuration has to be in force.
  base::Duration relayTimeout = base::milliseconds(700);
  // The same for a VM on standby. It is longer than the takeover by another VM takes, so that a
  // change of the coordinator doesn't make hundreds of VMs read everything.
  base::Duration standbyTimeout = base::milliseconds(1600);
  // Time without an announcement after which a VM on standby watches the store even though it hears
  // the coordinator. A store that is down for all has nothing to watch, and each refused call
  // costs.
  base::Duration maxStandby = std::chrono::seconds(10);
  // Time allowed for the messages of a change to arrive before all objects are read.
  base::Duration changeArrivalTimeout = base::milliseconds(150);
  // Minimum interval between two reads while the copy is outdated.
  base::Duration readInterval = base::milliseconds(500);
};

// One message of a change. A change consists of the objects that differ between two revisions of
// the relaying VM's copy, in one or more parts.
struct ChangePart
{
  // Revisions of the copy before and after the change.
  std::uint64_t previous = 0;
  std::uint64_t revision = 0;
  unsigned part = 0;
  unsigned parts = 1;
};

// Decides how an entry VM keeps its copy of the objects of one kind up to date: by messages of a
// relaying VM that watches the store for all VMs or, while the relaying VM is unresponsive, by its
// own watch. With a shared watch the number of calls to the store doesn't depend on the number of
// VMs.
class RelayedCopy
{
public:
  explicit RelayedCopy(RelaySettings settings)
    : settings_(settings)
  {
  }

  // The relaying VM announced that it watches the store and that its copy has this revision.
  void onRelayAnnouncement(std::uint64_t revision, base::TimePoint now);

  // A coordinator that doesn't watch the store at the moment was heard.
  void onCoordinatorHeard(base::TimePoint now);

  // Sets whether this VM is on standby: other VMs would notice before it that no VM watches the
  // store, and take over.
  void setStandby(bool isStandby) { isStandby_ = isStandby; }

  // A part of a change has arrived. Returns false if the change isn't based on this copy; the part
  // must then not be applied.
  bool onChangePart(const ChangePart& part);

  // A read or a watch of the store has brought the copy up to this revision.
  void onRead(std::uint64_t revision);

  // Returns the revision up to which the copy holds all changes.
  std::uint64_t completeRevision() const { return lag_.complete(); }
  // Returns the newest revision that the relaying VM has announced.
  std::uint64_t announcedRevision() const { return lag_.announced(); }
  // Returns the time for which the copy is known to lack an announced change, zero if it lacks
  // none.
  base::Duration timeBehind(base::TimePoint now) const
  {
    return lag_.isBehind() ? now - lag_.behindSince() : base::Duration::zero();
  }

  // Returns whether this VM has to watch the store itself.
  bool mustWatchStore(base::TimePoint now) const
  {
    return now >= (isStandby_ ? standbyTimeoutAt_ : relayTimeoutAt_);
  }

  // Returns whether beginReadIfDue() would start a read.
  bool isReadDue(base::TimePoint now) const;

  // Returns whether to read all objects now because the messages of an announced change didn't
  // arrive. If so, the read counts as started.
  bool beginReadIfDue(base::TimePoint now);

private:
  RelaySettings settings_;
  // Time at which the relaying VM counts as unresponsive unless it announces again.
  base::TimePoint relayTimeoutAt_{};
  base::TimePoint standbyTimeoutAt_{};
  // Time until which hearing the coordinator extends the standby.
  base::TimePoint standbyEndsAt_{};
  bool isStandby_ = false;
  RevisionLag lag_;
  // Earliest time of the next read.
  base::TimePoint nextReadAt_{};
  // Parts that have arrived of the change to revision `partsRevision_`.
  std::uint64_t partsRevision_ = 0;
  std::set<unsigned> receivedParts_;
};

} // namespace sycamore::dispatch
