#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamore::entry {

// Calls to the platform's store so far.
struct StoreCalls
{
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  // Calls without an answer, and those that the store refused.
  std::uint64_t failed = 0;
};

// What the control thread knows and does, for the metrics.
struct ControlStatus
{
  bool isCoordinator = false;
  // Whether this VM watches the store itself.
  bool watchesStore = false;
  bool storeReachable = false;
  StoreCalls calls;
  std::uint64_t ownershipRevision = 0;
  // Ranges that the coordinator manages, and those without a server that holds them.
  std::size_t ranges = 0;
  std::size_t rangesUnowned = 0;
  std::size_t entryVms = 0;
  // Time since a coordinator was last heard, in seconds.
  double secondsSinceHeartbeat = 0;
};

// Lines in Prometheus' text format.
void writeStatus(std::string& out, const ControlStatus& status);

} // namespace sycamore::entry
