#pragma once

#include <test_cluster/CallRecord.h>
#include <test_cluster/Execution.h>

#include <set>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A broken invariant of section 1.1 of docs/design.md, with what broke it.
struct Violation
{
  std::string invariant;
  std::string text;
};

// Checks what backend servers executed against what callers were told.
class HistoryChecker
{
public:
  // The methods of all services that are not idempotent.
  explicit HistoryChecker(std::set<std::string> nonIdempotentMethods);

  // All violations of I1, I5, I6 and I7.
  std::vector<Violation> check(std::vector<Execution> executions,
                               const std::vector<CallRecord>& calls) const;

private:
  const std::set<std::string> nonIdempotentMethods_;
};

// One line for each violation, for the message of a failed check.
std::string describe(const std::vector<Violation>& violations);

} // namespace sycamore::test_cluster
