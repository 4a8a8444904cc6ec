#pragma once

#include <base/Ids.h>
#include <placement/ShardRow.h>

namespace sycamore::placement {

// A hot key that is split out of its home shard into a shard of its own, whose index is at least
// the map's shard count.
struct KeyOverride
{
  base::Key key;
  base::ShardId shard;
  ShardRow row;

  friend bool operator==(const KeyOverride&, const KeyOverride&) = default;
};

} // namespace sycamore::placement
