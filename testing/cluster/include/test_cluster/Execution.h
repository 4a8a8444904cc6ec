#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::test_cluster {

// One execution in the journal of a backend server. Times are the host's monotonic clock in
// nanoseconds, which all processes of a test share.
struct Execution
{
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t seq = 0;
  std::string requestId;
  std::string service;
  std::string method;
  std::optional<std::string> key;
  std::uint64_t term = 0;
  std::int64_t startNs = 0;
  // 0 while the execution runs, and if the server process ended during the execution.
  std::int64_t endNs = 0;
  // "ran" if committed.
  std::string outcome;

  bool isCommitted() const { return outcome == "ran"; }
};

} // namespace sycamore::test_cluster
