#pragma once

#include <dispatch/KeyRates.h>
#include <dispatch/ManagedRange.h>
#include <dispatch/RangePlacement.h>

#include <cstddef>
#include <vector>

namespace sycamore::dispatch {

// Moves that spread hot keys over several servers in one step.
struct HotSpanPlan
{
  std::vector<PlannedMove> moves;
  // Number of the keys that move, their requests per second, and the number of servers that get
  // them.
  std::size_t keys = 0;
  double rate = 0;
  std::size_t servers = 0;
};

// Plans the moves that bring servers whose keys are hot below what they can run. The keys go to
// servers with room, as many as needed, but not to cold or limited ones; a key that is hotter than
// a server stays where it is. Only `movable` ranges are touched, and `maxMoves` are planned at
// most. `servers` are those that may own keys.
HotSpanPlan planHotSpans(const std::vector<PlacementServer>& servers,
                         const KeyRanges& movable,
                         const KeyRates& rates,
                         std::size_t maxMoves);

// Plans moves after which narrow ranges that get no requests have the same owner as the wide range
// beside them, so that they can be merged.
std::vector<PlannedMove> planReunion(const std::vector<PlacementServer>& servers,
                                     const ManagedRanges& ranges,
                                     const KeyRates& rates,
                                     std::size_t maxMoves);

} // namespace sycamore::dispatch
