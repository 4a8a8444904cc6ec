#include <placement/PlacementPlanner.h>

#include "BalanceMoves.h"
#include "HotKeyChanges.h"
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
    throw PlacementError("the maximum number of moves per step must be at least 1");
  }
}

Plan PlacementPlanner::plan(const PlanRequest& request, base::TimePoint now) const
{
  WorkingMap work(request, options_, now);
  planUrgentMoves(work);
  planHotKeyChanges(work, request);
  planFillMoves(work);
  planReliefMoves(work);
  const auto skip = [&](base::ShardId shard) { return work.hasMoved(shard); };
  work.mutablePlan().successorChanges =
    repairSuccessors(request.map, work.serverTable(), skip, options_.maxSuccessorChangesPerStep);
  return work.takePlan();
}

} // namespace sycamore::placement
