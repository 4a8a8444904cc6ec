#include <placement/ShardLoads.h>

#include <algorithm>
#include <cmath>

namespace sycamore::placement {

namespace {

// Interval that the first measurement of a shard covers, because there is no earlier one.
constexpr base::Duration kFirstInterval = std::chrono::seconds(1);

// Weight after a split: the loads of both parts are only estimates, so that a low weight lets new
// measurements replace them within seconds.
constexpr double kWeightAfterSplit = 0.1;

} // namespace

ShardLoads::ShardLoads(std::uint32_t shardCount, base::Duration timeConstant)
  : timeConstant_(timeConstant)
  , shards_(shardCount)
{
}

void ShardLoads::recordLoad(base::ShardId shard, double load, base::TimePoint now)
{
  Average& entry = average(shard);
  const bool first = entry.weight <= 0;
  if (!first && now <= entry.measuredAt) {
    return;
  }
  const base::Duration interval = first ? kFirstInterval : now - entry.measuredAt;
  const double elapsed = std::chrono::duration<double>(interval).count();
  const double decay = std::exp(-elapsed / std::chrono::duration<double>(timeConstant_).count());
  const double oldWeight = entry.weight * decay;
  entry.weight = oldWeight + (1 - decay);
  entry.load = (entry.load * oldWeight + load * (1 - decay)) / entry.weight;
  entry.measuredAt = now;
}

void ShardLoads::split(base::ShardId from, base::ShardId to, double load, base::TimePoint now)
{
  average(to) = { load, kWeightAfterSplit, now };
  Average& fromEntry = average(from);
  fromEntry.load = std::max(0.0, fromEntry.load - load);
  fromEntry.weight = std::min(fromEntry.weight, kWeightAfterSplit);
}

void ShardLoads::merge(base::ShardId from, base::ShardId to)
{
  average(to).load += load(from);
  overrides_.erase(from);
}

double ShardLoads::load(base::ShardId shard) const
{
  if (shard.value() < shards_.size()) {
    return shards_[shard.value()].load;
  }
  const auto found = overrides_.find(shard);
  return found == overrides_.end() ? 0.0 : found->second.load;
}

double ShardLoads::total() const
{
  double sum = 0;
  for (const Average& average : shards_) {
    sum += average.load;
  }
  for (const auto& [shard, average] : overrides_) {
    sum += average.load;
  }
  return sum;
}

ShardLoads::Average& ShardLoads::average(base::ShardId shard)
{
  return shard.value() < shards_.size() ? shards_[shard.value()] : overrides_[shard];
}

} // namespace sycamore::placement
