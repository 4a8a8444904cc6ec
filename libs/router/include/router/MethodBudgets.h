#pragma once

#include <base/Ids.h>
#include <requests/RetryBudget.h>
#include <requests/RetryPolicy.h>

#include <map>
#include <mutex>

namespace sycamore::router {

// Retry budgets, one per method. Thread-safe.
class MethodBudgets
{
public:
  void recordSuccess(const base::ServiceId& service, const base::MethodId& method, double ratio);

  requests::RetryDecision decide(const base::ServiceId& service,
                                 const base::MethodId& method,
                                 double ratio,
                                 unsigned maxAttempts,
                                 const requests::RetryQuery& query);

private:
  requests::RetryBudget& budgetOf(const base::ServiceId& service,
                                  const base::MethodId& method,
                                  double ratio);

  std::mutex mutex_;
  std::map<std::pair<base::ServiceId, base::MethodId>, requests::RetryBudget> budgets_;
};

} // namespace sycamore::router
