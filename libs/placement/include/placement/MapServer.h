#pragma once

#include <base/Ids.h>
#include <placement/ServerEntry.h>

namespace sycamore::placement {

// A named server of a shard map.
struct MapServer
{
  base::ServerId id;
  ServerEntry entry;
  // The last generation that changed the server's shards, their successors or its voters.
  base::Generation lastChanged{};

  friend bool operator==(const MapServer&, const MapServer&) = default;
};

} // namespace sycamore::placement
