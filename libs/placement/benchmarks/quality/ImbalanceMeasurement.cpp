#include "Baselines.h"
#include "Deployment.h"
#include "Measurements.h"

#include <base/KeyHash.h>

#include <algorithm>

namespace sycamore::placement::quality {

namespace {

double imbalanceOf(const Baseline& baseline, const ZipfKeys& keys, std::uint32_t servers)
{
  std::vector<double> loads(servers);
  for (std::uint32_t i = 0; i < servers; ++i) {
    loads[i] = keys.tailShare() * baseline.hashShare(i);
  }
  for (std::uint64_t rank = 1; rank <= keys.headSize(); ++rank) {
    loads[baseline.owner(base::hashBytes(keys.key(rank)))] += keys.share(rank);
  }
  return std::ranges::max(loads) * servers;
}

} // namespace

std::vector<Result> measureImbalance(const Scenario& scenario,
                                     const std::vector<Deployment>& settled)
{
  double worst = 0;
  const auto baselines = makeBaselines(serverHashes(scenario, scenario.servers));
  std::vector<double> baselineWorst(baselines.size());
  for (const Deployment& deployment : settled) {
    worst = std::max(worst, deployment.imbalance());
    for (std::size_t i = 0; i < baselines.size(); ++i) {
      const double value = imbalanceOf(*baselines[i], deployment.keys(), scenario.servers);
      baselineWorst[i] = std::max(baselineWorst[i], value);
    }
  }
  const int runs = static_cast<int>(settled.size());
  std::vector<Result> results;
  for (std::size_t i = 0; i < baselines.size(); ++i) {
    results.push_back({ "imbalance",
                        scenario.name,
                        worst,
                        "max/mean",
                        1.10,
                        baselines[i]->name(),
                        baselineWorst[i],
                        runs });
  }
  // Imbalance caused by the hottest key alone: no placement with one owner per key can be better.
  const double floor = std::max(1.0, settled.front().keys().share(1) * scenario.servers);
  results.push_back({ "imbalance_floor", scenario.name, floor, "max/mean", {}, {}, {}, runs });
  return results;
}

} // namespace sycamore::placement::quality
