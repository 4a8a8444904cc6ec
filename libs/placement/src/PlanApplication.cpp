#include <placement/PlanApplication.h>

#include <placement/PlacementError.h>
#include <placement/ShardMapBuilder.h>

#include <unordered_set>

namespace sycamore::placement {

namespace {

std::optional<base::ServerId> copyOf(const base::ServerId* server)
{
  return server ? std::optional(*server) : std::nullopt;
}

void applyMoves(ShardMapBuilder& builder, const ShardMap& map, const Plan& plan)
{
  std::unordered_set<base::ShardId> moved;
  for (const Move& move : plan.moves) {
    if (map.owner(move.shard) != move.from) {
      throw PlacementError("shard " + std::to_string(move.shard.value()) + " is not owned by " +
                           move.from.value());
    }
    if (!moved.insert(move.shard).second) {
      throw PlacementError("shard " + std::to_string(move.shard.value()) + " moves twice");
    }
    builder.assign(move.shard, move.to, move.successor);
  }
}

void applySplits(ShardMapBuilder& builder, const ShardMap& map, const Plan& plan)
{
  for (const base::Key& key : plan.splits) {
    const base::ShardId home = map.homeShardOf(key);
    builder.addOverride(key, map.owner(home), copyOf(map.successor(home)));
  }
}

void applyMerges(ShardMapBuilder& builder, const ShardMap& map, const Plan& plan)
{
  for (const base::ShardId shard : plan.merges) {
    const KeyOverride* hot = map.overrideAt(shard);
    if (!hot || map.row(map.homeShardOf(hot->key)).owner != hot->row.owner) {
      throw PlacementError("override " + std::to_string(shard.value()) +
                           " can't be dropped away from its shard's owner");
    }
    builder.removeOverride(shard);
  }
}

} // namespace

ShardMap applyPlan(const ShardMap& map, const Plan& plan, std::string writer)
{
  ShardMapBuilder builder(map);
  builder.setGeneration(base::Generation(map.generation().value() + 1));
  builder.setWriter(std::move(writer));
  for (const SuccessorChange& change : plan.successorChanges) {
    builder.assign(change.shard, map.owner(change.shard), change.successor);
  }
  applyMoves(builder, map, plan);
  applySplits(builder, map, plan);
  applyMerges(builder, map, plan);
  return builder.build();
}

} // namespace sycamore::placement
