#include <placement/OwnershipHistory.h>

namespace sycamore::placement {

void OwnershipHistory::onMapAdopted(const ShardMap& before,
                                    const ShardMap& after,
                                    base::TimePoint now)
{
  // Removed overrides first: their indexes may already belong to other keys.
  recordRemovedOverrides(before, after, now);
  after.forEachShard(
    [&](base::ShardId shard, const ShardRow&) { recordOwner(before, after, shard, now); });
}

void OwnershipHistory::recordReasons(std::span<const Move> moves)
{
  for (const Move& move : moves) {
    const auto found = records_.find(move.shard);
    if (found != records_.end()) {
      found->second.reason = move.reason;
    }
  }
}

const OwnershipHistory::Record* OwnershipHistory::find(base::ShardId shard) const
{
  const auto found = records_.find(shard);
  return found == records_.end() ? nullptr : &found->second;
}

bool OwnershipHistory::movedWithin(base::ShardId shard,
                                   base::Duration interval,
                                   base::TimePoint now) const
{
  const Record* record = find(shard);
  return record && now - record->movedAt < interval;
}

// A key that was just split out inherits the last move of its home shard.
void OwnershipHistory::recordOwner(const ShardMap& before,
                                   const ShardMap& after,
                                   base::ShardId shard,
                                   base::TimePoint now)
{
  const KeyOverride* keyOverride = after.overrideAt(shard);
  const base::ShardId previous = keyOverride ? before.shardOf(keyOverride->key) : shard;
  if (before.owner(previous) != after.owner(shard)) {
    records_[shard] = { now, after.generation(), std::nullopt };
    return;
  }
  const Record* inherited = find(previous);
  if (previous != shard && inherited) {
    records_[shard] = *inherited;
  }
}

void OwnershipHistory::recordRemovedOverrides(const ShardMap& before,
                                              const ShardMap& after,
                                              base::TimePoint now)
{
  for (const KeyOverride& keyOverride : before.overrides()) {
    if (after.overrideOf(keyOverride.key)) {
      continue;
    }
    const base::ShardId home = after.homeShardOf(keyOverride.key);
    const Record* overrideRecord = find(keyOverride.shard);
    // The home shard now contains the returned key, so it must not move earlier than the key may.
    if (overrideRecord && (!find(home) || find(home)->movedAt < overrideRecord->movedAt)) {
      records_[home] = *overrideRecord;
    }
    if (before.owner(keyOverride.shard) != after.owner(home)) {
      records_[home] = { now, after.generation(), std::nullopt };
    }
    records_.erase(keyOverride.shard);
  }
}

} // namespace sycamore::placement
