#pragma once

#include <boost/histogram/axis/regular.hpp>

namespace sycamore::telemetry {

// Seconds on a logarithmic axis. The same axis everywhere makes all latencies mergeable.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr int kLatencyBinsPerDecade = 24;
constexpr int kLatencyDecades = 6;
constexpr int kLatencyBins = kLatencyBinsPerDecade * kLatencyDecades;
constexpr double kLatencyMin = 1e-4;
constexpr double kLatencyMax = 1e2;

// Upper edge of a bin divided by its lower one, 10^(1/24): the largest ratio of a quantile's
// bounds.
constexpr double kLatencyBinRatio = 1.10069417125221;

inline LatencyAxis makeLatencyAxis()
{
  return LatencyAxis(kLatencyBins, kLatencyMin, kLatencyMax);
}

} // namespace sycamore::telemetry
