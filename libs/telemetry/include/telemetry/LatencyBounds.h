#pragma once

namespace sycamore::telemetry {

// Edges, in seconds, of the bin that contains a quantile: the exact value lies in [low, high].
// `high` is infinite above 100 s, `low` is 0 below 0.1 ms.
struct LatencyBounds
{
  double low = 0;
  double high = 0;
};

} // namespace sycamore::telemetry
