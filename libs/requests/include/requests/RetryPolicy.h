#pragma once

#include <base/Time.h>
#include <requests/AttemptClassifier.h>
#include <requests/RetryBudget.h>

namespace sycamore::requests {

// A request whose last attempt did not succeed.
struct RetryQuery
{
  bool idempotent = false;
  Classification last;
  // Attempts made so far by this entry VM, at least 1.
  unsigned attemptsMade = 1;
  base::TimePoint deadline;
  // Wait before the next attempt, from Backoff.
  base::Duration delay{};
  // Typical duration of an attempt. A retry that would end after the deadline is not made.
  base::Duration expectedDuration{};
};

// Either the next attempt may start at `notBefore`, or the request ends with `refusal`.
struct RetryDecision
{
  bool retry = false;
  base::TimePoint notBefore;
  // Reason to report when retry is false. The outcome to report is that of all attempts together,
  // see combineOutcomes().
  Reason refusal = Reason::None;
};

// Decides whether a failed attempt may be repeated: the request is idempotent or provably did not
// run, its reason is retryable, attempts are left, and the deadline and the budget allow it. The
// budget is charged only if all other conditions allow the retry. Stateless: the caller owns the
// budget.
class RetryPolicy
{
public:
  explicit RetryPolicy(unsigned maxAttempts = 3);

  RetryDecision decide(const RetryQuery& query, RetryBudget& budget, base::TimePoint now) const;

private:
  bool mayRepeat(const RetryQuery& query) const;

  unsigned maxAttempts_;
};

} // namespace sycamore::requests
