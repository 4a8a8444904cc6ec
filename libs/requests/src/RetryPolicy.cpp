#include <requests/RetryPolicy.h>

namespace sycamore::requests {

RetryPolicy::RetryPolicy(unsigned maxAttempts)
  : maxAttempts_(maxAttempts)
{
}

RetryDecision RetryPolicy::decide(const RetryQuery& query,
                                  RetryBudget& budget,
                                  base::TimePoint now) const
{
  const base::TimePoint notBefore = now + query.delay;
  if (!mayRepeat(query) || notBefore + query.expectedDuration > query.deadline) {
    return { false, notBefore, query.last.reason };
  }
  if (!budget.tryWithdraw(now)) {
    return { false, notBefore, Reason::RetryBudget };
  }
  return { true, notBefore, Reason::None };
}

bool RetryPolicy::mayRepeat(const RetryQuery& query) const
{
  const bool safe = query.last.outcome == Outcome::NotRun ||
                    (query.idempotent && query.last.outcome == Outcome::Unknown);
  return safe && isRetryable(query.last.reason) && query.attemptsMade < maxAttempts_;
}

} // namespace sycamore::requests
