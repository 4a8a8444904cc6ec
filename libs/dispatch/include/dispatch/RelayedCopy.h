#pragma once

#include <base/Time.h>
#include <dispatch/RevisionLag.h>

#include <cstdint>
#include <set>

namespace sycamore::dispatch {

struct RelaySettings
{
  // Silence of the relaying VM after which this one watches the store itself. A change that the
  // relaying VM can't see any more has to be found within the time that a configuration may take.
  base::Duration relayTimeout = base::milliseconds(700);
  // Time for the messages of a change to arrive, before all objects are read.
  base::Duration changeArrivalTimeout = base::milliseconds(150);
  // Time between two reads while the copy is old.
  base::Duration readInterval = base::milliseconds(500);
};

// One message of a change: the objects that differ between two states of the relaying VM's copy, in
// one or more parts.
struct ChangePart
{
  // Revisions of the copy before and after the change.
  std::uint64_t previous = 0;
  std::uint64_t revision = 0;
  unsigned part = 0;
  unsigned parts = 1;
};

// Decides how an entry VM keeps its copy of the objects of one kind up to date: by the messages of
// a VM that watches the store for all, or, while that one is silent, by a watch of its own. One
// watch for all makes the calls to the store independent of the number of VMs.
class RelayedCopy
{
public:
  explicit RelayedCopy(RelaySettings settings)
    : settings_(settings)
  {
  }

  // The relaying VM watches, and its copy last changed at this revision.
  void onRelayAnnouncement(std::uint64_t revision, base::TimePoint now);

  // A part of a change has been taken over. False if it doesn't follow on this copy, which must
  // then be left as it is.
  bool onChangePart(const ChangePart& part);

  // The copy holds all changes up to this revision.
  void onRead(std::uint64_t revision);

  // Revision up to which the copy holds all changes.
  std::uint64_t completeRevision() const { return lag_.complete(); }
  // The newest revision that the relaying VM has told of.
  std::uint64_t announcedRevision() const { return lag_.announced(); }

  // Whether a watch of this VM's own is needed.
  bool mustWatchStore(base::TimePoint now) const { return now >= relayedUntil_; }

  // Whether to read all objects now, because a change was announced whose messages didn't arrive.
  // The read counts as begun.
  bool beginReadIfDue(base::TimePoint now);

private:
  RelaySettings settings_;
  // The last word of the relaying VM counts until then.
  base::TimePoint relayedUntil_{};
  RevisionLag lag_;
  // Reads follow each other at this distance at least.
  base::TimePoint nextReadAt_{};
  // Parts of the change to `partsOf_` that have arrived.
  std::uint64_t partsOf_ = 0;
  std::set<unsigned> parts_;
};

} // namespace sycamore::dispatch
