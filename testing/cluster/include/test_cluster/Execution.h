#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::test_cluster {

// One execution of the journal of a backend server. Times are monotonic nanoseconds of the host,
// which all processes of a test share.
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
  // 0 while it runs and when its server died before its end.
  std::int64_t endNs = 0;
  // "ran" when committed.
  std::string outcome;

  bool isCommitted() const { return outcome == "ran"; }
};

} // namespace sycamore::test_cluster
