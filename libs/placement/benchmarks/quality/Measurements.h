#pragma once

#include "Deployment.h"
#include "Result.h"
#include "Scenario.h"

#include <cstdint>
#include <vector>

namespace sycamore::placement::quality {

// What all measurements need to know.
struct RunOptions
{
  std::uint64_t seed = 1;
  int runs = 5;
};

// One deployment per run, after the planner has settled under sampled load.
std::vector<Deployment> settle(const Scenario& scenario, const RunOptions& options);

// Max/mean load over servers: the worst run.
std::vector<Result> measureImbalance(const Scenario& scenario,
                                     const std::vector<Deployment>& settled);

// Shards moved after one server left or joined, over the least possible: a leaving server's shards,
// or one of n + 1 shares for a joining one. Summed over all servers of all runs. With the worst
// imbalance after these events and the moves that came sooner than the minimum time.
std::vector<Result> measureChurn(const Scenario& scenario, const std::vector<Deployment>& settled);

// Time from the first request of a key that turns hot to the plan that splits it out (median of the
// runs), and the memory of a tracker (the largest).
std::vector<Result> measureHotKeys(const Scenario& scenario, const RunOptions& options);

} // namespace sycamore::placement::quality
