#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <placement/OwnershipHistory.h>
#include <placement/ShardMap.h>

#include <optional>
#include <string>

namespace sycamore::placement {

// The owner of a key, since when and why it owns the key, and its successor.
struct KeyExplanation
{
  base::Key key;
  base::ShardId shard;
  bool isSplitOut = false;
  MapServer owner;
  std::optional<MapServer> successor;
  base::Generation generation;
  // Empty when the shard has not moved since this entry VM first saw the map.
  std::optional<base::Duration> ownedFor;
  std::optional<base::Generation> movedInGeneration;
  std::optional<MoveReason> reason;
};

KeyExplanation explainKey(const ShardMap& map,
                          const OwnershipHistory& history,
                          const base::Key& key,
                          base::TimePoint now);

// Returns one line of text for operators.
std::string describe(const KeyExplanation& explanation);

} // namespace sycamore::placement
