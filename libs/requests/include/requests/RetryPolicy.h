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
  // Time that an attempt usually takes. A retry that would end after the deadline is not made.
  base::Duration expectedDuration{};
};

// Either the next attempt may start at notBefore, or the request ends with `refusal`.
struct RetryDecision
{
  bool retry = false;
  base::TimePoint notBefore;
  // Reason to report when retry is false. The outcome to report is that of all attempts together,
  // see combineOutcomes().
  Reason refusal = Reason::None;
};

// Decides whether a failed attempt may be repeated: idempotent or provably not run, worth
// repeating, attempts left, within the deadline, and within the budget. The budget is charged only
// when everything else allows the retry. Without state; the budget is the caller's.
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
