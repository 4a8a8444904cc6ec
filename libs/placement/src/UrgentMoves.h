#pragma once

#include "WorkingMap.h"

namespace sycamore::placement {

// Moves shards off lost servers, then leaving ones, then failure domains taken out, the most loaded
// shards first.
void planUrgentMoves(WorkingMap& work);

} // namespace sycamore::placement
