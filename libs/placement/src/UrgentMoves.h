#pragma once

#include "WorkingMap.h"

namespace sycamore::placement {

// Plans the moves of shards off lost servers, then off leaving servers, then out of failure domains
// that are out of service, the most loaded shards first.
void planUrgentMoves(WorkingMap& work);

} // namespace sycamore::placement
