#pragma once

#include "Baseline.h"
#include "Scenario.h"

#include <memory>
#include <vector>

namespace sycamore::placement::quality {

// Returns the hashes of the names of the scenario's first servers.
std::vector<std::uint64_t> serverHashes(const Scenario& scenario, std::uint32_t count);

// Creates modulo, consistent hashing and rendezvous hashing over these servers.
std::vector<std::unique_ptr<Baseline>> makeBaselines(const std::vector<std::uint64_t>& servers);

} // namespace sycamore::placement::quality
