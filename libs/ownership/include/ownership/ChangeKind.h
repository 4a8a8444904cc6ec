#pragma once

namespace sycamore::ownership {

// Why the holder writes the shard map.
enum class ChangeKind
{
  Move,     // shards that the server has released get other owners
  Failover, // the shards of an evicted server go to their recorded successors
  Voters    // the server gets other voters
};

} // namespace sycamore::ownership
