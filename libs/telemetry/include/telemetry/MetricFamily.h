#pragma once

#include <string>
#include <vector>

namespace sycamore::telemetry {

// Name, help text and label names of a metric, which all its series share. Names carry their unit:
// counters end in "_total", histograms in "_seconds".
struct MetricFamily
{
  std::string name;
  std::string help;
  // At most kMaxLabels names.
  std::vector<std::string> labels;
};

constexpr std::size_t kMaxLabels = 4;

} // namespace sycamore::telemetry
