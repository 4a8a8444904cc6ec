#pragma once

#include <base/Ids.h>
#include <placement/Move.h>

#include <optional>
#include <vector>

namespace sycamore::placement {

// Names another successor of a shard. No traffic moves.
struct SuccessorChange
{
  base::ShardId shard;
  std::optional<base::ServerId> successor;

  friend bool operator==(const SuccessorChange&, const SuccessorChange&) = default;
};

// One step towards a better map. applyPlan() turns it into the next generation; an empty plan means
// that the map is good as it is.
struct Plan
{
  // In the order of urgency. A move of reason ServerLost goes to exactly the recorded successor.
  std::vector<Move> moves;
  std::vector<SuccessorChange> successorChanges;
  // Hot keys to split out in place: same owner and successor as their shard, so nothing moves.
  std::vector<base::Key> splits;
  // Overrides of cooled keys that are back at their shard's owner and are dropped in place.
  std::vector<base::ShardId> merges;

  bool empty() const
  {
    return moves.empty() && successorChanges.empty() && splits.empty() && merges.empty();
  }
};

} // namespace sycamore::placement
