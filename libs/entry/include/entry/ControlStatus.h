#pragma once

#include <entry/ByteCounts.h>
#include <entry/CallClient.h>

#include <dispatch/QuotaIssuer.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamore::entry {

// Number of calls to the platform's store since the start of the process.
struct StoreCalls
{
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  // Calls that weren't answered or that the store refused.
  std::uint64_t failed = 0;
};

// State of the control thread, for the metrics and the status line of the log.
struct ControlStatus
{
  bool isCoordinator = false;
  // Whether this VM watches the store itself instead of receiving changes from the coordinator.
  bool watchesStore = false;
  bool storeReachable = false;
  StoreCalls calls;
  // Bytes that the control thread has exchanged with other VMs and with servers.
  ByteCounts bytes;
  std::uint64_t ownershipRevision = 0;
  // Time for which the copy of each watched kind is known to lack a change, in the order
  // configuration, servers, domains out.
  std::array<double, 3> secondsBehind{};
  // Time since the store last showed this VM that the copy holds all changes, in the same order.
  std::array<double, 3> secondsSinceCurrent{};
  // Key ranges that this VM manages as coordinator, and those of them that no server holds.
  std::size_t ranges = 0;
  std::size_t rangesUnowned = 0;
  // Number of times that this VM, as coordinator, has spread hot keys over several servers.
  std::uint64_t hotSpanSpreads = 0;
  // Number of tokens in answers to releases that were dropped because they can't be passed on.
  std::uint64_t malformedTokens = 0;
  // Answers of servers to the grants and releases of this VM.
  CallAnswers orderAnswers;
  std::size_t entryVms = 0;
  // Requests of workspaces' quotas that this VM has lent as coordinator.
  dispatch::QuotaIssuer::Counts quotas;
  // Time since the last heartbeat of a coordinator; 0 while this VM is the coordinator.
  double secondsSinceHeartbeat = 0;
};

// Appends the status in Prometheus' text format.
void writeStatus(std::string& out, const ControlStatus& status);

} // namespace sycamore::entry
