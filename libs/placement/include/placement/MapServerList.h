#pragma once

#include <placement/EntryVm.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>
#include <placement/VoterChoice.h>

#include <optional>
#include <span>
#include <string>

namespace sycamore::placement {

// Creates the first map of a service, with generation 1: shards are spread over the live and cold
// servers in proportion to their capacity by rendezvous hashing, and have successors and voters.
// Takes time proportional to the number of shards times the number of servers. Throws
// PlacementError without a usable server or a live entry VM.
ShardMap createInitialMap(const base::ServiceId& service,
                          std::uint32_t shardCount,
                          std::span<const ServerView> servers,
                          std::span<const EntryVm> entryVms,
                          VoterMode mode,
                          std::string writer);

// Returns the next generation of the map with an updated list of servers, or nothing if nothing
// changes. Adds servers that joined; they own no shards until the planner assigns some. Removes
// servers that are Leaving, Lost or no longer listed and are neither owner nor successor of a
// shard. Updates addresses and domains. Voters of present servers stay; the lease holder replaces
// them with chooseVoters.
std::optional<ShardMap> updateServerList(const ShardMap& map,
                                         std::span<const ServerView> servers,
                                         std::span<const EntryVm> entryVms,
                                         VoterMode mode,
                                         std::string writer);

} // namespace sycamore::placement
