#pragma once

#include <base/Ids.h>
#include <placement/ShardRow.h>

namespace sycamore::placement {

// A hot key split out as a shard of its own. Its index is at least the map's shard count.
struct KeyOverride
{
  base::Key key;
  base::ShardId shard;
  ShardRow row;

  friend bool operator==(const KeyOverride&, const KeyOverride&) = default;
};

} // namespace sycamore::placement
