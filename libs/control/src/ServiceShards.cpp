#include "ServiceShards.h"

namespace sycamore::control {

ownership::ShardSet ServiceShards::ownedSince(const base::ServerId& server,
                                              base::Generation generation) const
{
  ownership::ShardSet owned;
  for (const base::ShardId shard : map_->shardsOf(server)) {
    if (map_->unchangedSince(shard) <= generation) {
      owned.insert(shard);
    }
  }
  return owned;
}

ownership::ServerRow rowOf(const placement::ShardMap& map, const base::ServerId& server)
{
  ownership::ServerRow row;
  row.server = server;
  row.generation = map.generation();
  // A server that the map doesn't name lost its last shards in a generation that isn't recorded.
  row.rowGeneration = map.generation();
  for (const base::ShardId shard : map.shardsOf(server)) {
    row.owned.insert(shard);
    if (const base::ServerId* successor = map.successor(shard)) {
      row.successors[*successor].insert(shard);
    }
  }
  if (const auto* entry = map.find(server)) {
    row.voters = entry->voters;
    row.rowGeneration = map.server(map.indexOf(server)).lastChanged;
  }
  return row;
}

} // namespace sycamore::control
