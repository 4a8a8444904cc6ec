#pragma once

#include <base/Time.h>

#include <cstdint>

namespace sycamore::configuration {

// How one method of a service is executed. maxAttempts is 1 for methods that aren't idempotent.
struct MethodConfig
{
  bool idempotent = false;
  // Upper bound of a request's deadline, and its deadline if the caller names none.
  base::milliseconds deadline{ 2000 };
  // Sends per request, the first included.
  std::uint32_t maxAttempts = 1;
  // Retries allowed per first send, over all requests of the method.
  double retryBudgetRatio = 0.1;

  friend bool operator==(const MethodConfig&, const MethodConfig&) = default;
};

} // namespace sycamore::configuration
