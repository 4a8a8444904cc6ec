#pragma once

#include <base/Ids.h>
#include <placement/OwnershipHistory.h>
#include <placement/ServerView.h>
#include <placement/ShardLoads.h>
#include <placement/ShardMap.h>

#include <span>

namespace sycamore::placement {

// All that a planning step looks at. The references must outlive the call.
struct PlanRequest
{
  const ShardMap& map;
  // Servers of the map that are missing here keep their shards and receive none, because the
  // platform's list lags.
  std::span<const ServerView> servers;
  // Failure domains that the operators took out. A domain comes back by its absence here; its
  // servers then fill up as their state and warmth allow.
  std::span<const base::DomainId> domainsOut;
  const ShardLoads& loads;
  const OwnershipHistory& history;
  // From HotKeyPolicy.
  std::span<const base::Key> hotKeys = {};
  std::span<const base::Key> cooledKeys = {};
  // False while too little traffic was counted to tell busy shards from idle ones. Live servers
  // then keep their shards, and a server that joins gets a part by number.
  bool loadsKnown = true;
};

} // namespace sycamore::placement
