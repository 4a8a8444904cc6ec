#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::placement::quality {

// A service at one of the sizes of docs/design.md, section 1.5.
struct Scenario
{
  std::string name;
  std::string keyPrefix;
  std::uint64_t keys = 0;
  std::uint32_t servers = 20;
  std::uint32_t domains = 3;
  std::uint32_t shards = 256;
  std::uint32_t entryVms = 10;
  // Requests per second of all entry VMs.
  std::uint32_t requestRate = 20'000;
  double churnWeight = 0.5;
};

// With one owner per key, 20 servers can meet the imbalance target of 1.10 only if the hottest key
// has at most 5.5% of the load, which for Zipf(1.0) takes about 45 million keys. With 100 million
// keys the lowest possible imbalance is 1.05.
inline constexpr std::uint64_t kKeys = 100'000'000;

// Norte gives more weight to tail latency, Magnolia to low churn.
inline std::vector<Scenario> scenarios()
{
  Scenario norte{ .name = "norte", .keyPrefix = "store-", .keys = kKeys, .churnWeight = 0.3 };
  Scenario dixie{ .name = "dixie-south", .keyPrefix = "verse-", .keys = kKeys, .churnWeight = 0.8 };
  return { norte, dixie };
}

} // namespace sycamore::placement::quality
