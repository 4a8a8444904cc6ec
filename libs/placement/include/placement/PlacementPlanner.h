#pragma once

#include <base/Time.h>
#include <placement/Plan.h>
#include <placement/PlanRequest.h>
#include <placement/PlannerOptions.h>

namespace sycamore::placement {

// Plans the next changes of a service's shard map. Stateless: the same request gives the same plan.
// Call it again only after the map of the previous plan is confirmed. Throws PlacementError for
// options that are out of range.
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
