#pragma once

#include <string>
#include <vector>

namespace sycamore::telemetry {

// What the series of one metric have in common. Names carry their unit: counters end in "_total",
// histograms in "_seconds".
struct MetricFamily
{
  std::string name;
  std::string help;
  // At most kMaxLabels.
  std::vector<std::string> labels;
};

constexpr std::size_t kMaxLabels = 4;

} // namespace sycamore::telemetry
