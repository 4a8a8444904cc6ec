#include <placement/OwnershipHistory.h>

namespace sycamore::placement {

void OwnershipHistory::onMapAdopted(const ShardMap& before,
                                    const ShardMap& after,
                                    base::TimePoint now)
{
  // Dropped overrides first: their indexes may already belong to other keys.
  forgetDropped(before, after, now);
  after.forEachShard(
    [&](base::ShardId shard, const ShardRow&) { note(before, after, shard, now); });
}

void OwnershipHistory::recordReasons(std::span<const Move> moves)
{
  for (const Move& move : moves) {
    const auto at = records_.find(move.shard);
    if (at != records_.end()) {
      at->second.reason = move.reason;
    }
  }
}

const OwnershipHistory::Record* OwnershipHistory::find(base::ShardId shard) const
{
  const auto at = records_.find(shard);
  return at == records_.end() ? nullptr : &at->second;
}

bool OwnershipHistory::movedWithin(base::ShardId shard,
                                   base::Duration interval,
                                   base::TimePoint now) const
{
  const Record* record = find(shard);
  return record && now - record->movedAt < interval;
}

// A key that was just split out has moved when its shard last moved.
void OwnershipHistory::note(const ShardMap& before,
                            const ShardMap& after,
                            base::ShardId shard,
                            base::TimePoint now)
{
  const KeyOverride* hot = after.overrideAt(shard);
  const base::ShardId previous = hot ? before.shardOf(hot->key) : shard;
  if (before.owner(previous) != after.owner(shard)) {
    records_[shard] = { now, after.generation(), std::nullopt };
    return;
  }
  const Record* inherited = find(previous);
  if (previous != shard && inherited) {
    records_[shard] = *inherited;
  }
}

void OwnershipHistory::forgetDropped(const ShardMap& before,
                                     const ShardMap& after,
                                     base::TimePoint now)
{
  for (const KeyOverride& hot : before.overrides()) {
    if (after.overrideOf(hot.key)) {
      continue;
    }
    const base::ShardId home = after.homeShardOf(hot.key);
    const Record* old = find(hot.shard);
    // The shard contains the returned key, so it must not move sooner than the key may.
    if (old && (!find(home) || find(home)->movedAt < old->movedAt)) {
      records_[home] = *old;
    }
    if (before.owner(hot.shard) != after.owner(home)) {
      records_[home] = { now, after.generation(), std::nullopt };
    }
    records_.erase(hot.shard);
  }
}

} // namespace sycamore::placement
