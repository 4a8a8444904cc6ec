#pragma once

#include <base/Time.h>
#include <placement/Plan.h>
#include <placement/PlanRequest.h>
#include <placement/PlannerOptions.h>

namespace sycamore::placement {

// Decides the next step of a service's shard map. Without state of its own: the same request gives
// the same plan. Call it again once the previous plan's map is confirmed. Throws PlacementError for
// options out of range.
class PlacementPlanner
{
public:
  explicit PlacementPlanner(PlannerOptions options = {});

  Plan plan(const PlanRequest& request, base::TimePoint now) const;

  const PlannerOptions& options() const { return options_; }

private:
  PlannerOptions options_;
};

} // namespace sycamore::placement
