#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::quality {

// One measured figure. All bounds are upper bounds and come from the targets in docs/design.md.
struct Figure
{
  std::string name;
  std::string scenario;
  double value = 0;
  std::string unit;
  std::optional<double> bound;
  std::string baseline;
  std::optional<double> baselineValue;
};

// Prints figures as JSON lines and counts violated bounds.
class QualityReport
{
public:
  QualityReport(std::string command, std::uint64_t seed, int runs)
    : command_(std::move(command))
    , seed_(seed)
    , runs_(runs)
  {
  }

  std::uint64_t seed() const { return seed_; }
  int runs() const { return runs_; }

  void add(const Figure& figure)
  {
    nlohmann::ordered_json line{ { "name", figure.name },
                                 { "scenario", figure.scenario },
                                 { "value", figure.value },
                                 { "unit", figure.unit },
                                 { "bound", nullptr },
                                 { "baseline", figure.baseline },
                                 { "baseline_value", nullptr },
                                 { "command", command_ },
                                 { "seed", seed_ },
                                 { "runs", runs_ } };
    if (figure.bound) {
      line["bound"] = *figure.bound;
      violatedBounds_ += figure.value > *figure.bound ? 1 : 0;
    }
    if (figure.baselineValue) {
      line["baseline_value"] = *figure.baselineValue;
    }
    std::cout << line.dump() << std::endl;
  }

  // Returns the number of figures above their bound.
  int violatedBounds() const { return violatedBounds_; }

private:
  std::string command_;
  std::uint64_t seed_;
  int runs_;
  int violatedBounds_ = 0;
};

inline double median(std::vector<double> values)
{
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

inline double quantile(std::vector<double>& values, double fraction)
{
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(
    values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

} // namespace sycamore::quality
