#include <router/MethodBudgets.h>

namespace sycamore::router {

using base::SteadyClock;

requests::RetryBudget& MethodBudgets::budgetOf(const base::ServiceId& service,
                                               const base::MethodId& method,
                                               double ratio)
{
  requests::RetryBudgetSettings settings;
  settings.ratio = ratio;
  return budgets_.try_emplace({ service, method }, settings).first->second;
}

void MethodBudgets::recordSuccess(const base::ServiceId& service,
                                  const base::MethodId& method,
                                  double ratio)
{
  std::lock_guard lock(mutex_);
  budgetOf(service, method, ratio).recordSuccess(SteadyClock().now());
}

requests::RetryDecision MethodBudgets::decide(const base::ServiceId& service,
                                              const base::MethodId& method,
                                              double ratio,
                                              unsigned maxAttempts,
                                              const requests::RetryQuery& query)
{
  std::lock_guard lock(mutex_);
  const requests::RetryPolicy policy(maxAttempts);
  return policy.decide(query, budgetOf(service, method, ratio), SteadyClock().now());
}

} // namespace sycamore::router
