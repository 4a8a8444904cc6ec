#pragma once

#include <base/Time.h>

#include <algorithm>
#include <cstdint>

namespace sycamore::dispatch {

// Tracks how far a copy that is updated by messages lags behind its original.
class RevisionLag
{
public:
  // The copy holds all changes up to this revision.
  void advanceComplete(std::uint64_t revision)
  {
    complete_ = std::max(complete_, revision);
    announced_ = std::max(announced_, complete_);
  }

  // The original was announced to have this revision.
  void advanceAnnounced(std::uint64_t revision, base::TimePoint now)
  {
    if (revision <= announced_) {
      return;
    }
    // Measured from the first missing change, regardless of how many follow.
    if (!isBehind()) {
      behindSince_ = now;
    }
    announced_ = revision;
  }

  std::uint64_t complete() const { return complete_; }
  std::uint64_t announced() const { return announced_; }
  bool isBehind() const { return announced_ > complete_; }
  // Returns the time at which the first missing change was announced. Meaningful while isBehind().
  base::TimePoint behindSince() const { return behindSince_; }

  // Returns whether the copy has been behind for at least the time allowed for messages to arrive.
  bool isOverdue(base::Duration arrivalTimeout, base::TimePoint now) const
  {
    return isBehind() && now >= behindSince_ + arrivalTimeout;
  }

private:
  std::uint64_t complete_ = 0;
  std::uint64_t announced_ = 0;
  base::TimePoint behindSince_{};
};

} // namespace sycamore::dispatch
