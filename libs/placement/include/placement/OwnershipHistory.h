#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <optional>
#include <span>
#include <unordered_map>

namespace sycamore::placement {

// Times and reasons of the owner changes that this entry VM has seen. Every VM updates it with each
// map that it adopts, so a VM that takes over planning respects the minimum time between moves. Not
// thread-safe. Holds one record per shard that has moved.
class OwnershipHistory
{
public:
  struct Record
  {
    base::TimePoint movedAt;
    base::Generation generation;
    // Empty if this VM saw only the change and not the plan.
    std::optional<MoveReason> reason;
  };

  // Records the owner changes between the previous map and a newly adopted one.
  void onMapAdopted(const ShardMap& before, const ShardMap& after, base::TimePoint now);
  // Adds the reasons of moves whose result onMapAdopted() has recorded.
  void recordReasons(std::span<const Move> moves);

  // Returns null if no move of the shard has been seen.
  const Record* find(base::ShardId shard) const;
  bool movedWithin(base::ShardId shard, base::Duration interval, base::TimePoint now) const;

private:
  void recordOwner(const ShardMap& before,
                   const ShardMap& after,
                   base::ShardId shard,
                   base::TimePoint now);
  void recordRemovedOverrides(const ShardMap& before, const ShardMap& after, base::TimePoint now);

  std::unordered_map<base::ShardId, Record> records_;
};

} // namespace sycamore::placement
