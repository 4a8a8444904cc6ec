#pragma once

#include <base/Time.h>

namespace sycamore::configuration {

// Service-level objective that the burn report measures against: the share of requests that are
// answered well within the latency.
struct ServiceObjective
{
  double goodRatio = 0.999;
  base::milliseconds latency{ 100 };

  friend bool operator==(const ServiceObjective&, const ServiceObjective&) = default;
};

} // namespace sycamore::configuration
