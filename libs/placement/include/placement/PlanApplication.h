#pragma once

#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <string>

namespace sycamore::placement {

// Returns the next generation of the map with the plan applied. Throws PlacementError if the plan
// was made for another map: the `from` of a move is not the owner, or a name is unknown.
ShardMap applyPlan(const ShardMap& map, const Plan& plan, std::string writer);

} // namespace sycamore::placement
