#pragma once

#include "WorkingMap.h"

namespace sycamore::placement {

// planFillMoves moves shards to servers below the low watermark, planReliefMoves moves shards off
// servers above the high watermark. Each move lowers the higher utilization of its two servers, so
// a sequence of steps under the same load ends.
void planFillMoves(WorkingMap& work);
void planReliefMoves(WorkingMap& work);

} // namespace sycamore::placement
