#pragma once

#include <test_cluster/Cluster.h>
#include <test_cluster/KeyProbe.h>
#include <test_cluster/LoadGenerator.h>

#include <string>
#include <vector>

namespace sycamore::e2e {

// How long a key may be unserved after the loss of its server or its entry VM, at p99.
constexpr double kRecoveryBoundMs = 1000;

// The key names of the load generator whose shard belongs to the server in the stored map.
std::vector<std::string> keysOf(const test_cluster::Cluster& cluster,
                                const std::string& server,
                                unsigned limit);

// The value below which the given part of the values lies; values must not be empty.
double quantile(std::vector<double> values, double part);

// Prints one line of JSON with the p99 of the recovery times of a scenario.
void printRecovery(const std::string& scenario,
                   const std::vector<double>& recoveryMs,
                   std::size_t runs);

// Number of losses for a measurement: 8, or that of SYCAMORE_E2E_LOSSES.
unsigned lossCount();

// Waits until the load has served so many requests more; false after the timeout.
bool servesMore(const test_cluster::LoadGenerator& load,
                std::uint64_t count,
                base::Duration timeout);

} // namespace sycamore::e2e
