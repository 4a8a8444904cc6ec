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
  // The map does not record in which generation a server that it no longer contains lost its last
  // shards, so the newest generation is used.
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
