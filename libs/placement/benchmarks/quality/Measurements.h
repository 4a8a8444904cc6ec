#pragma once

#include "Deployment.h"
#include "Result.h"
#include "Scenario.h"

#include <cstdint>
#include <vector>

namespace sycamore::placement::quality {

// Options of all measurements.
struct RunOptions
{
  std::uint64_t seed = 1;
  int runs = 5;
};

// Creates one deployment per run and runs it under sampled load until the load averages and
// the shard assignment are stable.
std::vector<Deployment> createSettledDeployments(const Scenario& scenario,
                                                 const RunOptions& options);

// Measures the maximum load of a server relative to the mean, in the worst run.
std::vector<Result> measureImbalance(const Scenario& scenario,
                                     const std::vector<Deployment>& settled);

// Measures the number of shards moved after one server left or joined, relative to the minimum: the
// shards of a leaving server, or one of n + 1 equal shares for a joining one. Summed over all
// servers of all runs. Also measures the worst imbalance after these events and the moves that came
// before the minimum time.
std::vector<Result> measureChurn(const Scenario& scenario, const std::vector<Deployment>& settled);

// Measures the time from the first request of a key that turns hot to the plan that splits it out
// (median of the runs), and the memory of a tracker (maximum).
std::vector<Result> measureHotKeys(const Scenario& scenario, const RunOptions& options);

} // namespace sycamore::placement::quality
