#pragma once

#include <base/Time.h>

#include <cstdint>
#include <deque>

namespace sycamore::dispatch {

// The revision from which the next watch continues. A store may hear nothing of changes for a
// moment and drop its history afterwards: a watch that ends without events then tells a revision
// beyond changes that it has missed. So a revision that came without events is used only after a
// time that such a moment doesn't last; until then watches start from an older one, and see the
// changes or learn that the history is gone.
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
