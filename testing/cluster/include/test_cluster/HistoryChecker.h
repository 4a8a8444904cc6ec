#pragma once

#include <test_cluster/CallRecord.h>
#include <test_cluster/Execution.h>

#include <set>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A violated invariant of section 1.1 of docs/design.md, with a description of the events that
// violated it.
struct Violation
{
  std::string invariant;
  std::string text;
};

// Checks the executions on backend servers against the answers that callers received.
class HistoryChecker
{
public:
  // nonIdempotentMethods: those of all services.
  explicit HistoryChecker(std::set<std::string> nonIdempotentMethods);

  // Returns all violations of I1, I5, I6 and I7.
  std::vector<Violation> check(std::vector<Execution> executions,
                               const std::vector<CallRecord>& calls) const;

private:
  const std::set<std::string> nonIdempotentMethods_;
};

// Returns one line per violation, for the message of a failed check; long lists are shortened.
std::string describe(const std::vector<Violation>& violations);

} // namespace sycamore::test_cluster
