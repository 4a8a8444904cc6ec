#pragma once

#include <base/Ids.h>
#include <requests/RetryBudget.h>
#include <requests/RetryPolicy.h>

#include <map>
#include <mutex>

namespace sycamore::router {

// The retry budget of each method. Safe from all threads.
class MethodBudgets
{
public:
  void noteSuccess(const base::ServiceId& service, const base::MethodId& method, double ratio);

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
