#pragma once

namespace sycamore::ownership {

// Purpose of a write of the shard map by the lease holder.
enum class ChangeKind
{
  Move,     // shards that the server has released get a new owner
  Failover, // the shards of an evicted server go to their recorded successors
  Voters    // the voters of the server's lease are replaced
};

} // namespace sycamore::ownership
