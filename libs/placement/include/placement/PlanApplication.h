#pragma once

#include <placement/Plan.h>
#include <placement/ShardMap.h>

#include <string>

namespace sycamore::placement {

// The next generation of a map. Throws PlacementError when the plan was made for another map: a
// move's "from" is not the owner, or a name is unknown.
ShardMap applyPlan(const ShardMap& map, const Plan& plan, std::string writer);

} // namespace sycamore::placement
