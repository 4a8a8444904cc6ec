#pragma once

#include <base/Time.h>

#include <cstdint>
#include <deque>

namespace sycamore::dispatch {

// Determines the revision from which the next watch starts. A store may miss changes for a short
// time and drop its history afterwards; a watch that ends without events then reports a revision
// beyond changes that it has missed. A revision reported without events is therefore used only
// after a delay that such an interruption doesn't exceed. Until then watches start from an older
// revision, so that they either see the changes or learn that the history is gone.
class WatchCursor
{
public:
  explicit WatchCursor(base::Duration trustDelay)
    : trustDelay_(trustDelay)
  {
  }

  // All objects were read at this revision.
  void onListed(std::uint64_t revision)
  {
    startRevision_ = revision;
    emptyWatches_.clear();
  }

  // A watch ended at this revision.
  void onWatchEnded(std::uint64_t revision, bool hadEvents, base::TimePoint now)
  {
    if (revision < startRevision_) {
      return;
    }
    if (hadEvents) {
      onListed(revision);
    } else {
      emptyWatches_.push_back({ now, revision });
    }
  }

  std::uint64_t startRevision(base::TimePoint now)
  {
    while (!emptyWatches_.empty() && emptyWatches_.front().at + trustDelay_ <= now) {
      startRevision_ = emptyWatches_.front().revision;
      emptyWatches_.pop_front();
    }
    return startRevision_;
  }

private:
  struct EmptyWatch
  {
    base::TimePoint at;
    std::uint64_t revision;
  };

  base::Duration trustDelay_;
  std::uint64_t startRevision_ = 0;
  // Revisions of watches that ended without events, oldest first.
  std::deque<EmptyWatch> emptyWatches_;
};

} // namespace sycamore::dispatch
