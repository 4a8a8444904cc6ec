#pragma once

#include "PlotSpec.h"

#include <telemetry/ServiceLevelSnapshot.h>

#include <vector>

namespace sycamore::telemetry {

// Returns the plots of one service: burn rates, latency quantiles, bad answers by cause, imbalance,
// moved shards, and time without an owner.
std::vector<PlotSpec> servicePlots(const ServiceLevelSnapshot& snapshot);

} // namespace sycamore::telemetry
