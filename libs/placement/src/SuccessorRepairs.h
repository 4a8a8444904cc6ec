#pragma once

#include "ServerTable.h"

#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace sycamore::placement {

// Returns better successors for shards that keep their owner: where the current successor can't
// stay, and where one server is the successor of too many shards of the same owner. Shards for
// which skip() returns true keep their successors, and so do the shards of lost servers, whose
// permits name the successors.
std::vector<SuccessorChange> repairSuccessors(const ShardMap& map,
                                              const ServerTable& serverTable,
                                              const std::function<bool(base::ShardId)>& skip,
                                              std::size_t maxChanges);

} // namespace sycamore::placement
