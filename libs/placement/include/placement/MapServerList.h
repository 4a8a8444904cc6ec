#pragma once

#include <placement/EntryVm.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>
#include <placement/VoterChoice.h>

#include <optional>
#include <span>
#include <string>

namespace sycamore::placement {

// The first map of a service: shards spread evenly by capacity, in rendezvous order, over the live
// and cold servers, with successors and voters. Generation 1. Takes time in the order of shards
// times servers. Throws PlacementError without a usable server or a live entry VM.
ShardMap createInitialMap(const base::ServiceId& service,
                          std::uint32_t shardCount,
                          std::span<const ServerView> servers,
                          std::span<const EntryVm> entryVms,
                          VoterMode mode,
                          std::string writer);

// The next generation with the servers that joined (owning nothing yet; the planner fills them),
// without those that are Leaving, Lost or no longer listed and neither own nor succeed a shard, and
// with changed addresses and domains. Empty when nothing changes. Voters of present servers stay;
// their holder replaces them with chooseVoters.
std::optional<ShardMap> updateServerList(const ShardMap& map,
                                         std::span<const ServerView> servers,
                                         std::span<const EntryVm> entryVms,
                                         VoterMode mode,
                                         std::string writer);

} // namespace sycamore::placement
