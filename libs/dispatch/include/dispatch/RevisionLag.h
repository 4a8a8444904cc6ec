#pragma once

#include <base/Time.h>

#include <algorithm>
#include <cstdint>

namespace sycamore::dispatch {

// How far a copy that is kept by messages is behind its original.
class RevisionLag
{
public:
  // The copy holds all changes up to this revision.
  void advanceComplete(std::uint64_t revision)
  {
    complete_ = std::max(complete_, revision);
    announced_ = std::max(announced_, complete_);
  }

  // The original has this revision.
  void advanceAnnounced(std::uint64_t revision, base::TimePoint now)
  {
    if (revision <= announced_) {
      return;
    }
    // The time counts from the first change that is missing, however many follow.
    if (!isBehind()) {
      behindSince_ = now;
    }
    announced_ = revision;
  }

  std::uint64_t complete() const { return complete_; }
  std::uint64_t announced() const { return announced_; }
  bool isBehind() const { return announced_ > complete_; }

  // Whether the copy has been behind for longer than a message takes to arrive.
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
