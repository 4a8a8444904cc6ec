#include <placement/PlacementPlanner.h>

#include "BalanceMoves.h"
#include "HotKeyEdits.h"
#include "SuccessorRepairs.h"
#include "UrgentMoves.h"
#include "WorkingMap.h"

#include <placement/PlacementError.h>

namespace sycamore::placement {

PlacementPlanner::PlacementPlanner(PlannerOptions options)
  : options_(options)
{
  if (!(options.churnWeight >= 0 && options.churnWeight <= 1)) {
    throw PlacementError("the churn weight must be between 0 and 1");
  }
  if (options.maxMovesPerStep == 0) {
    throw PlacementError("a step needs at least one move");
  }
}

Plan PlacementPlanner::plan(const PlanRequest& request, base::TimePoint now) const
{
  WorkingMap work(request, options_, now);
  planUrgentMoves(work);
  planHotKeyEdits(work, request);
  planFillMoves(work);
  planReliefMoves(work);
  const auto skip = [&](base::ShardId shard) { return work.hasMoved(shard); };
  work.edits().successorChanges =
    repairSuccessors(request.map, work.fleet(), skip, options_.maxSuccessorChangesPerStep);
  return work.takePlan();
}

} // namespace sycamore::placement
