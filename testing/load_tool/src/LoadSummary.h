#pragma once

#include "LoadRun.h"

#include <nlohmann/json_fwd.hpp>

namespace sycamore::load_tool {

// Returns the number of requests, latency quantiles in milliseconds, request counts by server and
// by outcome, and the longest time for which a key was not served: from the start of the first
// request that waited or failed until the end of the next one that ran.
nlohmann::json summarize(const std::vector<LoadSample>& samples);

} // namespace sycamore::load_tool
