#pragma once

#include "PlotSpec.h"

#include <telemetry/ServiceLevelSnapshot.h>

#include <vector>

namespace sycamore::telemetry {

// The plots of one service: burn rates, latency quantiles, bad answers by cause, imbalance, moves,
// and time without an owner.
std::vector<PlotSpec> servicePlots(const ServiceLevelSnapshot& snapshot);

} // namespace sycamore::telemetry
