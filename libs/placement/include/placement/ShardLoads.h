#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Smoothed load per shard, in requests per second times cost, as entry VMs count it. Not
// thread-safe.
class ShardLoads
{
public:
  // As long as the minimum time between two moves of a shard: a faster average makes the planner
  // follow bursts that are over before the shard may move again.
  static constexpr base::Duration kTimeConstant = std::chrono::seconds(60);

  explicit ShardLoads(std::uint32_t shardCount, base::Duration timeConstant = kTimeConstant);

  // Notes the load of a shard or override, summed over all entry VMs. The first observation counts
  // in full; later ones by the time since the one before. Observations older than it are ignored.
  void recordLoad(base::ShardId shard, double load, base::TimePoint now);
  // Moves part of a shard's load to the override of a key just split out of it, because reports
  // under the new map arrive only seconds later.
  void split(base::ShardId from, base::ShardId to, double load, base::TimePoint now);
  // Returns an override's load to its shard.
  void merge(base::ShardId from, base::ShardId to);

  // 0 when never observed.
  double load(base::ShardId shard) const;
  double total() const;

private:
  struct Average
  {
    double load = 0;
    // Weight of the observations so far, 0 to 1.
    double known = 0;
    base::TimePoint at{};
  };

  Average& average(base::ShardId shard);

  base::Duration timeConstant_;
  std::vector<Average> shards_;
  std::unordered_map<base::ShardId, Average> overrides_;
};

} // namespace sycamore::placement
