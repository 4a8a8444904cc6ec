#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <optional>
#include <span>
#include <unordered_map>

namespace sycamore::placement {

// When and why shards changed their owner, as far as this entry VM has seen. Every VM feeds it with
// the maps that it adopts, so a VM that takes over planning keeps the minimum time between moves.
// Not thread-safe. Holds one record per shard that moved.
class OwnershipHistory
{
public:
  struct Record
  {
    base::TimePoint movedAt;
    base::Generation generation;
    // Empty when only the change was seen, not the plan.
    std::optional<MoveReason> reason;
  };

  // Compares a newly adopted map with the one before it.
  void onMapAdopted(const ShardMap& before, const ShardMap& after, base::TimePoint now);
  // Adds the reasons of a plan whose result has been observed.
  void recordReasons(std::span<const Move> moves);

  // Null when the shard has not moved in sight.
  const Record* find(base::ShardId shard) const;
  bool movedWithin(base::ShardId shard, base::Duration interval, base::TimePoint now) const;

private:
  void note(const ShardMap& before,
            const ShardMap& after,
            base::ShardId shard,
            base::TimePoint now);
  void forgetDropped(const ShardMap& before, const ShardMap& after, base::TimePoint now);

  std::unordered_map<base::ShardId, Record> records_;
};

} // namespace sycamore::placement
