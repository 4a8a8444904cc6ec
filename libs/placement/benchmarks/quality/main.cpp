// Prints the placement quality figures as JSON lines. With --check, exits with status 1 if a figure
// misses its bound.

#include "Measurements.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace {

using namespace sycamore::placement::quality;

template<typename T>
nlohmann::json toJsonOrNull(const std::optional<T>& value)
{
  return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

void print(const Result& result, const RunOptions& options, const std::string& command)
{
  const nlohmann::ordered_json line = { { "name", result.name },
                                        { "scenario", result.scenario },
                                        { "value", result.value },
                                        { "unit", result.unit },
                                        { "bound", toJsonOrNull(result.bound) },
                                        { "baseline", toJsonOrNull(result.baseline) },
                                        { "baseline_value", toJsonOrNull(result.baselineValue) },
                                        { "command", command },
                                        { "seed", options.seed },
                                        { "runs", result.runs } };
  std::cout << line.dump() << std::endl;
}

std::vector<Result> measureScenario(const Scenario& scenario, const RunOptions& options)
{
  const std::vector<Deployment> settled = createSettledDeployments(scenario, options);
  std::vector<Result> results = measureImbalance(scenario, settled);
  const auto churn = measureChurn(scenario, settled);
  results.insert(results.end(), churn.begin(), churn.end());
  const auto hotKeys = measureHotKeys(scenario, options);
  results.insert(results.end(), hotKeys.begin(), hotKeys.end());
  return results;
}

} // namespace

int main(int argc, char** argv)
{
  RunOptions options;
  bool check = false;
  std::string command = "placement_quality";
  for (int i = 1; i < argc; ++i) {
    command += std::string(" ") + argv[i];
    if (std::strcmp(argv[i], "--check") == 0) {
      check = true;
    } else if (std::strncmp(argv[i], "--seed=", 7) == 0) {
      options.seed = std::strtoull(argv[i] + 7, nullptr, 10);
    } else if (std::strncmp(argv[i], "--runs=", 7) == 0) {
      options.runs = std::max(1, std::atoi(argv[i] + 7));
    } else {
      std::cerr << "usage: placement_quality [--check] [--seed=N] [--runs=N]\n";
      return 2;
    }
  }
  bool allBoundsHold = true;
  for (const Scenario& scenario : scenarios()) {
    for (const Result& result : measureScenario(scenario, options)) {
      print(result, options, command);
      allBoundsHold = allBoundsHold && result.holds();
    }
  }
  return check && !allBoundsHold ? 1 : 0;
}
