#pragma once

#include <base/Time.h>

namespace sycamore::configuration {

// Service-level objective that the error budget burn report measures against: the ratio of requests
// that are answered successfully within the latency.
struct ServiceObjective
{
  double goodRatio = 0.999;
  base::milliseconds latency{ 100 };

  friend bool operator==(const ServiceObjective&, const ServiceObjective&) = default;
};

} // namespace sycamore::configuration
