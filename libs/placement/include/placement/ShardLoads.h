#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Moving average of the load per shard, in requests per second times cost, as counted by the entry
// VMs. Not thread-safe.
class ShardLoads
{
public:
  // Equal to the minimum time between two moves of a shard: a faster average would make the planner
  // follow bursts that end before the shard may move again.
  static constexpr base::Duration kTimeConstant = std::chrono::seconds(60);

  explicit ShardLoads(std::uint32_t shardCount, base::Duration timeConstant = kTimeConstant);

  // Records the load of a shard or override, summed over all entry VMs. The first measurement
  // counts in full; later ones are weighted by the time since the previous one. Measurements that
  // are not newer than the previous one are ignored.
  void recordLoad(base::ShardId shard, double load, base::TimePoint now);
  // Moves part of a shard's load to the override of a key that was just split out of it, because
  // load reports under the new map arrive only seconds later.
  void split(base::ShardId from, base::ShardId to, double load, base::TimePoint now);
  // Adds an override's load back to its home shard.
  void merge(base::ShardId from, base::ShardId to);

  // Returns 0 if no load was recorded.
  double load(base::ShardId shard) const;
  double total() const;

private:
  struct Average
  {
    double load = 0;
    // Weight of the measurements so far, 0 to 1.
    double weight = 0;
    base::TimePoint measuredAt{};
  };

  Average& average(base::ShardId shard);

  base::Duration timeConstant_;
  std::vector<Average> shards_;
  std::unordered_map<base::ShardId, Average> overrides_;
};

} // namespace sycamore::placement
