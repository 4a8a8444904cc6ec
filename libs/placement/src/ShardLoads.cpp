#include <placement/ShardLoads.h>

#include <algorithm>
#include <cmath>

namespace sycamore::placement {

namespace {

// What the first observation of a shard covers, because there is none before it.
constexpr base::Duration kFirstInterval = std::chrono::seconds(1);

// After a split the loads of both parts are estimates only: they are learned again within seconds.
constexpr double kKnownAfterSplit = 0.1;

} // namespace

ShardLoads::ShardLoads(std::uint32_t shardCount, base::Duration timeConstant)
  : timeConstant_(timeConstant)
  , shards_(shardCount)
{
}

void ShardLoads::recordLoad(base::ShardId shard, double load, base::TimePoint now)
{
  Average& of = average(shard);
  const bool first = of.known <= 0;
  if (!first && now <= of.at) {
    return;
  }
  const base::Duration interval = first ? kFirstInterval : now - of.at;
  const double elapsed = std::chrono::duration<double>(interval).count();
  const double keep = std::exp(-elapsed / std::chrono::duration<double>(timeConstant_).count());
  const double old = of.known * keep;
  of.known = old + (1 - keep);
  of.load = (of.load * old + load * (1 - keep)) / of.known;
  of.at = now;
}

void ShardLoads::split(base::ShardId from, base::ShardId to, double load, base::TimePoint now)
{
  average(to) = { load, kKnownAfterSplit, now };
  Average& parent = average(from);
  parent.load = std::max(0.0, parent.load - load);
  parent.known = std::min(parent.known, kKnownAfterSplit);
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
