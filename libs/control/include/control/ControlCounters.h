#pragma once

#include <atomic>
#include <cstdint>

namespace sycamore::control {

// Counts of control events since the start of the process. Written by the control thread, readable
// from all threads.
struct ControlCounters
{
  std::atomic<std::uint64_t> voteRequestsSent{ 0 };
  std::atomic<std::uint64_t> voteBatchesSent{ 0 };
  std::atomic<std::uint64_t> grantsSent{ 0 };
  std::atomic<std::uint64_t> grantsRefused{ 0 };
  std::atomic<std::uint64_t> grantsUnanswered{ 0 };
  std::atomic<std::uint64_t> leasesGained{ 0 };
  std::atomic<std::uint64_t> leasesLost{ 0 };
  std::atomic<std::uint64_t> evictions{ 0 };
  std::atomic<std::uint64_t> permitsReceived{ 0 };
  std::atomic<std::uint64_t> heartbeatsSent{ 0 };
  std::atomic<std::uint64_t> mapWrites{ 0 };
  std::atomic<std::uint64_t> mapConflicts{ 0 };
  std::atomic<std::uint64_t> mapsAdopted{ 0 };
  std::atomic<std::uint64_t> shardsMoved{ 0 };
  std::atomic<std::uint64_t> platformCalls{ 0 };
  std::atomic<std::uint64_t> platformFailures{ 0 };
  std::atomic<std::uint64_t> configAdoptions{ 0 };
};

} // namespace sycamore::control
