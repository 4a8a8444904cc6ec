#include "HotKeyChanges.h"

#include <placement/ShardMapBuilder.h>

#include <algorithm>

namespace sycamore::placement {

namespace {

void planKeyReturn(WorkingMap& work, const KeyOverride& keyOverride)
{
  const base::ShardId home = work.map().homeShardOf(keyOverride.key);
  const ShardRow& homeRow = work.map().row(home);
  if (work.hasMoved(keyOverride.shard) || work.hasMoved(home)) {
    return;
  }
  // A key that returns to its home shard must not be split out again in the same plan.
  work.pin(home);
  if (homeRow.owner == keyOverride.row.owner) {
    work.pin(keyOverride.shard);
    work.mutablePlan().merges.push_back(keyOverride.shard);
    return;
  }
  // Permits of a lost owner name the successor of the override, so it must not move to any other
  // server.
  const bool isOwnerLost =
    work.serverTable().role(keyOverride.row.owner) == ServerTable::Role::Lost;
  const bool canHomeReceive = work.serverTable().canReceive(homeRow.owner);
  if (!isOwnerLost && canHomeReceive && work.isMovable(keyOverride.shard) &&
      work.hasBalanceBudget()) {
    work.move(keyOverride.shard, homeRow.owner, homeRow.successor, MoveReason::KeyCooled);
  }
  work.pin(keyOverride.shard);
}

bool canSplit(const WorkingMap& work, const base::Key& key)
{
  if (work.map().overrideOf(key) || !ShardMapBuilder::canOverride(key)) {
    return false;
  }
  const base::ShardId home = work.map().homeShardOf(key);
  return !work.hasMoved(home) &&
         work.serverTable().role(work.map().row(home).owner) != ServerTable::Role::Lost;
}

} // namespace

void planHotKeyChanges(WorkingMap& work, const PlanRequest& request)
{
  if (request.map.shardCount() == 0) {
    return;
  }
  for (const base::Key& key : request.cooledKeys) {
    if (const KeyOverride* keyOverride = request.map.overrideOf(key)) {
      planKeyReturn(work, *keyOverride);
    }
  }
  auto& splits = work.mutablePlan().splits;
  for (const base::Key& key : request.hotKeys) {
    if (canSplit(work, key) && std::ranges::find(splits, key) == splits.end()) {
      splits.push_back(key);
      work.pin(request.map.homeShardOf(key));
    }
  }
}

} // namespace sycamore::placement
