#pragma once

#include <boost/histogram/axis/regular.hpp>

namespace sycamore::telemetry {

// Logarithmic axis in seconds. All latencies use the same axis, so that their counts can be merged.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr int kLatencyBinsPerDecade = 24;
constexpr int kLatencyDecades = 6;
constexpr int kLatencyBins = kLatencyBinsPerDecade * kLatencyDecades;
constexpr double kLatencyMin = 1e-4;
constexpr double kLatencyMax = 1e2;

// Ratio of the upper to the lower edge of a bin, 10^(1/24). Bounds the relative error of a
// quantile.
constexpr double kLatencyBinRatio = 1.10069417125221;

inline LatencyAxis makeLatencyAxis()
{
  return LatencyAxis(kLatencyBins, kLatencyMin, kLatencyMax);
}

} // namespace sycamore::telemetry
