#pragma once

#include <base/Time.h>
#include <dispatch/StoreRevision.h>

#include <cstdint>

namespace sycamore::dispatch {

struct RestorationGraceSettings
{
  // Time in which operators and servers write again what the backup lacked.
  base::Duration rewriteTime = std::chrono::seconds(3);
};

// Decides when an object that a list lacks counts as deleted. In the first list after the store
// was restored from a backup, objects may be missing that are about to be written again.
class RestorationGrace
{
public:
  explicit RestorationGrace(RestorationGraceSettings settings)
    : settings_(settings)
  {
  }

  // All objects were listed at this revision.
  void onListed(std::uint64_t revision, base::TimePoint now)
  {
    const std::uint64_t era = eraOf(revision);
    if (hasListed_ && era > era_) {
      endsAt_ = now + settings_.rewriteTime;
      isListDue_ = true;
    }
    era_ = hasListed_ && era_ > era ? era_ : era;
    hasListed_ = true;
  }

  // Returns whether objects that are missing from the list are kept.
  bool keepsMissing(base::TimePoint now) const { return now < endsAt_; }

  // Returns whether to list again, since the time for writing again has passed. If so, the list
  // counts as begun.
  bool takeDueList(base::TimePoint now)
  {
    const bool isDue = isListDue_ && now >= endsAt_;
    isListDue_ = isListDue_ && !isDue;
    return isDue;
  }

private:
  RestorationGraceSettings settings_;
  std::uint64_t era_ = 0;
  bool hasListed_ = false;
  base::TimePoint endsAt_{};
  bool isListDue_ = false;
};

} // namespace sycamore::dispatch
