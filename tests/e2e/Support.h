#pragma once

#include <test_cluster/Cluster.h>
#include <test_cluster/KeyProbe.h>
#include <test_cluster/LoadGenerator.h>

#include <string>
#include <vector>

namespace sycamore::e2e {

// Longest time that a key may be unserved after the loss of its server or of the entry VM that
// holds the server's lease, at p99.
constexpr double kRecoveryBoundMs = 1000;

// Returns up to `limit` keys of the load generator whose shard the stored map assigns to the
// server.
std::vector<std::string> keysOf(const test_cluster::Cluster& cluster,
                                const std::string& server,
                                unsigned limit);

// Returns the quantile (nearest rank) at the given fraction; values must not be empty.
double quantile(std::vector<double> values, double fraction);

// Prints the recovery times of a scenario (p99, median, maximum) as one line of JSON.
void printRecovery(const std::string& scenario,
                   const std::vector<double>& recoveryMs,
                   std::size_t runs);

// Returns the number of losses to measure: the value of SYCAMORE_E2E_LOSSES, or 8 if it is not set.
unsigned lossCount();

// Waits until the load has served `count` more requests. Returns false after the timeout.
bool waitServed(const test_cluster::LoadGenerator& load,
                std::uint64_t count,
                base::Duration timeout);

} // namespace sycamore::e2e
