#pragma once

namespace sycamore::configuration {

// What a service's owners care about, relative to each other: 0 to 10, 1 by default. The planner
// reads them; no code path depends on the service itself.
struct ServiceWeights
{
  double imbalance = 1;
  double churn = 1;
  double unavailableTime = 1;
  double domainService = 1;
  double tailLatency = 1;

  friend bool operator==(const ServiceWeights&, const ServiceWeights&) = default;
};

} // namespace sycamore::configuration
