#pragma once

#include "WorkingMap.h"

#include <placement/PlanRequest.h>

namespace sycamore::placement {

// Splits hot keys out in place, moves cooled ones home and drops those that are there.
void planHotKeyEdits(WorkingMap& work, const PlanRequest& request);

} // namespace sycamore::placement
