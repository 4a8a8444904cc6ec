#pragma once

#include <base/Ids.h>
#include <placement/Plan.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>

#include <span>

namespace sycamore::placement {

// Plans the move of every shard of an evicted server to exactly its recorded successor, which may
// already serve it under a permit, and chooses new successors. The number of moves is not limited,
// because all shards of the server are unserved. Shards without a recorded successor stay; the
// planner places them.
Plan planFailover(const ShardMap& map,
                  const base::ServerId& evicted,
                  std::span<const ServerView> servers,
                  std::span<const base::DomainId> domainsOut);

} // namespace sycamore::placement
