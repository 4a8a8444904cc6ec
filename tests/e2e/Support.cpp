#include "Support.h"

#include <base/KeyHash.h>
#include <test_process/WaitUntil.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace sycamore::e2e {

using nlohmann::json;
using test_cluster::LoadGenerator;

std::vector<std::string> keysOf(const test_cluster::Cluster& cluster,
                                const std::string& server,
                                unsigned limit)
{
  constexpr unsigned kSearchedKeys = 400;
  const auto owners = cluster.owners("layout");
  const auto shardCount = static_cast<std::uint32_t>(owners.size());
  std::vector<std::string> keys;
  for (unsigned i = 0; i < kSearchedKeys && keys.size() < limit; ++i) {
    const std::string key = LoadGenerator::keyName(i);
    if (owners.at(base::shardOfKey(base::Key(key), shardCount).value()) == server) {
      keys.push_back(key);
    }
  }
  return keys;
}

double quantile(std::vector<double> values, double fraction)
{
  std::sort(values.begin(), values.end());
  const auto rank =
    static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

void printRecovery(const std::string& scenario,
                   const std::vector<double>& recoveryMs,
                   std::size_t runs)
{
  const json line = { { "name", "key_recovery_p99_ms" },
                      { "scenario", scenario },
                      { "value", quantile(recoveryMs, 0.99) },
                      { "median", quantile(recoveryMs, 0.5) },
                      { "max", quantile(recoveryMs, 1) },
                      { "samples", recoveryMs.size() },
                      { "unit", "ms" },
                      { "bound", kRecoveryBoundMs },
                      { "command", "e2e_test --test-suite=losses" },
                      { "seed", 1 },
                      { "runs", runs } };
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

unsigned lossCount()
{
  const char* text = std::getenv("SYCAMORE_E2E_LOSSES");
  return text == nullptr ? 8 : static_cast<unsigned>(std::stoul(text));
}

bool waitServed(const LoadGenerator& load, std::uint64_t count, base::Duration timeout)
{
  const std::uint64_t before = load.served();
  return test_process::waitUntil([&] { return load.served() >= before + count; }, timeout);
}

} // namespace sycamore::e2e
