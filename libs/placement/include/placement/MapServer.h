#pragma once

#include <base/Ids.h>
#include <placement/ServerEntry.h>

namespace sycamore::placement {

// A server of a shard map, with its id.
struct MapServer
{
  base::ServerId id;
  ServerEntry entry;
  // The last generation that changed the server's shards, their successors or the server's voters.
  base::Generation lastChanged{};

  friend bool operator==(const MapServer&, const MapServer&) = default;
};

} // namespace sycamore::placement
