#pragma once

#include "WorkingMap.h"

#include <placement/PlanRequest.h>

namespace sycamore::placement {

// Plans the overrides of hot keys, the moves of cooled keys to the owner of their home shard, and
// the removal of overrides that are already there.
void planHotKeyChanges(WorkingMap& work, const PlanRequest& request);

} // namespace sycamore::placement
