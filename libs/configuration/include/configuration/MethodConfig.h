#pragma once

#include <base/Time.h>

#include <cstdint>

namespace sycamore::configuration {

// Execution parameters of one method of a service. maxAttempts is 1 for non-idempotent methods.
struct MethodConfig
{
  bool idempotent = false;
  // Upper bound of a request's deadline, and the default if the caller doesn't specify one.
  base::milliseconds deadline{ 2000 };
  // Maximum number of attempts per request, including the first one.
  std::uint32_t maxAttempts = 1;
  // Maximum ratio of retries to first attempts over all requests of the method.
  double retryBudgetRatio = 0.1;

  friend bool operator==(const MethodConfig&, const MethodConfig&) = default;
};

} // namespace sycamore::configuration
