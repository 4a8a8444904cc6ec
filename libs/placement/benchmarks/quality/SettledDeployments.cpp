#include "Measurements.h"

namespace sycamore::placement::quality {

namespace {

// Long enough for the load averages to stabilize and for shards to move a second time.
constexpr int kSettleSeconds = 300;

} // namespace

std::vector<Deployment> createSettledDeployments(const Scenario& scenario,
                                                 const RunOptions& options)
{
  std::vector<Deployment> settled;
  for (int run = 0; run < options.runs; ++run) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(run);
    // Each run uses other key names, so that other keys share shards.
    const std::string prefix = scenario.keyPrefix + std::to_string(seed) + "-";
    settled.emplace_back(scenario, std::make_shared<const ZipfKeys>(scenario.keys, prefix), seed);
    for (int second = 0; second < kSettleSeconds; ++second) {
      settled.back().runSecond();
    }
  }
  return settled;
}

} // namespace sycamore::placement::quality
