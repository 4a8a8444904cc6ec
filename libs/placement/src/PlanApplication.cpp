#include <placement/PlanApplication.h>

#include <placement/PlacementError.h>
#include <placement/ShardMapBuilder.h>

#include <unordered_set>

namespace sycamore::placement {

namespace {

std::optional<base::ServerId> toOptional(const base::ServerId* server)
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
      throw PlacementError("shard " + std::to_string(move.shard.value()) +
                           " has more than one move in the plan");
    }
    builder.assign(move.shard, move.to, move.successor);
  }
}

void applySplits(ShardMapBuilder& builder, const ShardMap& map, const Plan& plan)
{
  for (const base::Key& key : plan.splits) {
    const base::ShardId home = map.homeShardOf(key);
    builder.addOverride(key, map.owner(home), toOptional(map.successor(home)));
  }
}

void applyMerges(ShardMapBuilder& builder, const ShardMap& map, const Plan& plan)
{
  for (const base::ShardId shard : plan.merges) {
    const KeyOverride* keyOverride = map.overrideAt(shard);
    if (!keyOverride ||
        map.row(map.homeShardOf(keyOverride->key)).owner != keyOverride->row.owner) {
      throw PlacementError(
        "override " + std::to_string(shard.value()) +
        " can't be removed: it doesn't exist or isn't owned by the owner of its home shard");
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
