#pragma once

#include <base/Ids.h>

#include <cstdint>
#include <limits>

namespace sycamore::placement {

// Position of a server in ShardMap::servers(). Valid only for the map that it came from.
using ServerIndex = base::Strong<std::uint32_t, struct ServerIndexTag>;

// Means "no successor", which occurs only in maps with a single usable server.
inline constexpr ServerIndex kNoServer{ std::numeric_limits<std::uint32_t>::max() };

// Owner and successor of a shard, as positions in ShardMap::servers().
struct ShardRow
{
  ServerIndex owner = kNoServer;
  ServerIndex successor = kNoServer;
  // The generation since which the shard has had this owner, this successor and the same overrides
  // split out of it.
  base::Generation unchangedSince{};

  friend bool operator==(const ShardRow&, const ShardRow&) = default;
};

} // namespace sycamore::placement
