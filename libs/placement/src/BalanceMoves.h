#pragma once

#include "WorkingMap.h"

namespace sycamore::placement {

// Fills servers below the low mark, then relieves servers above the high mark. Each move lowers the
// higher utilization of its two servers, so a sequence of steps under the same load ends.
void planFillMoves(WorkingMap& work);
void planReliefMoves(WorkingMap& work);

} // namespace sycamore::placement
