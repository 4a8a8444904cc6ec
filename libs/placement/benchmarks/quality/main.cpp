// Prints the quality figures of placement as JSON lines. With --check, ends with status 1 if a
// figure misses its bound.

#include "Measurements.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace {

using namespace sycamore::placement::quality;

template<typename T>
nlohmann::json orNull(const std::optional<T>& value)
{
  return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

void print(const Result& result, const RunOptions& options, const std::string& command)
{
  const nlohmann::ordered_json line = { { "name", result.name },
                                        { "scenario", result.scenario },
                                        { "value", result.value },
                                        { "unit", result.unit },
                                        { "bound", orNull(result.bound) },
                                        { "baseline", orNull(result.baseline) },
                                        { "baseline_value", orNull(result.baselineValue) },
                                        { "command", command },
                                        { "seed", options.seed },
                                        { "runs", result.runs } };
  std::cout << line.dump() << std::endl;
}

std::vector<Result> measureAll(const Scenario& scenario, const RunOptions& options)
{
  const std::vector<Deployment> settled = settle(scenario, options);
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
  bool allHold = true;
  for (const Scenario& scenario : scenarios()) {
    for (const Result& result : measureAll(scenario, options)) {
      print(result, options, command);
      allHold = allHold && result.holds();
    }
  }
  return check && !allHold ? 1 : 0;
}
