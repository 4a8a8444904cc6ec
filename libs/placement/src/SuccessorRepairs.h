#pragma once

#include "Fleet.h"

#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace sycamore::placement {

// Better successors for shards that keep their owner: first where the present one can't stay, then
// where one server succeeds too many shards of the same owner. Shards for which skip() returns true
// keep theirs, and so do those of lost servers, whose permits name them.
std::vector<SuccessorChange> repairSuccessors(const ShardMap& map,
                                              const Fleet& fleet,
                                              const std::function<bool(base::ShardId)>& skip,
                                              std::size_t maxChanges);

} // namespace sycamore::placement
