#pragma once

#include <base/Ids.h>
#include <placement/Move.h>

#include <optional>
#include <vector>

namespace sycamore::placement {

// A change of a shard's successor. Moves no traffic.
struct SuccessorChange
{
  base::ShardId shard;
  std::optional<base::ServerId> successor;

  friend bool operator==(const SuccessorChange&, const SuccessorChange&) = default;
};

// The changes of one planning step. applyPlan() returns the next generation of the map with these
// changes; an empty plan means that the map needs none.
struct Plan
{
  // Most urgent first. A move with reason ServerLost goes to exactly the recorded successor.
  std::vector<Move> moves;
  std::vector<SuccessorChange> successorChanges;
  // Hot keys to split out. An override starts with the owner and successor of its home shard, so
  // nothing moves.
  std::vector<base::Key> splits;
  // Overrides of cooled keys to remove. Their owner is their home shard's owner already, so nothing
  // moves.
  std::vector<base::ShardId> merges;

  bool empty() const
  {
    return moves.empty() && successorChanges.empty() && splits.empty() && merges.empty();
  }
};

} // namespace sycamore::placement
