#pragma once

#include <base/Ids.h>
#include <placement/OwnershipHistory.h>
#include <placement/ServerView.h>
#include <placement/ShardLoads.h>
#include <placement/ShardMap.h>

#include <span>

namespace sycamore::placement {

// The input of a planning step. The references must outlive the call.
struct PlanRequest
{
  const ShardMap& map;
  // Servers of the map that are missing here keep their shards and receive none, because the
  // platform's list may be out of date.
  std::span<const ServerView> servers;
  // Failure domains that operators have taken out of service. A domain returns to service when it
  // is no longer listed; its servers then receive shards as their state and warmth allow.
  std::span<const base::DomainId> domainsOut;
  const ShardLoads& loads;
  const OwnershipHistory& history;
  // Decisions of HotKeyPolicy.
  std::span<const base::Key> hotKeys = {};
  std::span<const base::Key> cooledKeys = {};
  // False while too little traffic has been counted to distinguish busy shards from idle ones. Live
  // servers then keep their shards, and a server that joins receives a part of them by number
  // instead of by load.
  bool loadsKnown = true;
};

} // namespace sycamore::placement
