#include <placement/ShardLoads.h>

#include <algorithm>
#include <cmath>

namespace sycamore::placement {

ShardLoads::ShardLoads(std::uint32_t shardCount, base::Duration timeConstant)
  : timeConstant_(timeConstant)
  , shards_(shardCount)
{
}

void ShardLoads::observe(base::ShardId shard, double load, base::TimePoint now)
{
  Average& of = average(shard);
  if (!of.observed) {
    of = { load, now, true };
    return;
  }
  if (now <= of.at) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(now - of.at).count();
  const double keep = std::exp(-elapsed / std::chrono::duration<double>(timeConstant_).count());
  of.load = of.load * keep + load * (1 - keep);
  of.at = now;
}

void ShardLoads::split(base::ShardId from, base::ShardId to, double load, base::TimePoint now)
{
  average(to) = { load, now, true };
  Average& parent = average(from);
  parent.load = std::max(0.0, parent.load - load);
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
  const auto at = overrides_.find(shard);
  return at == overrides_.end() ? 0.0 : at->second.load;
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
