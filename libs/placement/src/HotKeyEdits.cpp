#include "HotKeyEdits.h"

#include <placement/ShardMapBuilder.h>

#include <algorithm>

namespace sycamore::placement {

namespace {

void returnKey(WorkingMap& work, const KeyOverride& hot)
{
  const base::ShardId home = work.map().homeShardOf(hot.key);
  const ShardRow& row = work.map().row(home);
  if (work.hasMoved(hot.shard) || work.hasMoved(home)) {
    return;
  }
  // A key that returns and its shard must not part again in the same plan.
  work.pin(home);
  if (row.owner == hot.row.owner) {
    work.pin(hot.shard);
    work.edits().merges.push_back(hot.shard);
    return;
  }
  // Permits of a lost owner name the override's successor, so it must not move anywhere else.
  const bool lost = work.fleet().role(hot.row.owner) == Fleet::Role::Lost;
  const bool targetLive = work.fleet().isTarget(row.owner);
  if (!lost && targetLive && work.isMovable(hot.shard) && work.mayBalance()) {
    work.move(hot.shard, row.owner, row.successor, MoveReason::KeyCooled);
  }
  work.pin(hot.shard);
}

bool canSplit(const WorkingMap& work, const base::Key& key)
{
  if (work.map().overrideOf(key) || !ShardMapBuilder::canOverride(key)) {
    return false;
  }
  const base::ShardId home = work.map().homeShardOf(key);
  return !work.hasMoved(home) && work.fleet().role(work.map().row(home).owner) != Fleet::Role::Lost;
}

} // namespace

void planHotKeyEdits(WorkingMap& work, const PlanRequest& request)
{
  if (request.map.shardCount() == 0) {
    return;
  }
  for (const base::Key& key : request.cooledKeys) {
    if (const KeyOverride* hot = request.map.overrideOf(key)) {
      returnKey(work, *hot);
    }
  }
  auto& splits = work.edits().splits;
  for (const base::Key& key : request.hotKeys) {
    if (canSplit(work, key) && std::ranges::find(splits, key) == splits.end()) {
      splits.push_back(key);
      work.pin(request.map.homeShardOf(key));
    }
  }
}

} // namespace sycamore::placement
