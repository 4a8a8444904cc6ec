#pragma once

namespace sycamore::configuration {

// Relative weights of the placement planner's objectives for a service: 0 to 10, 1 by default. No
// code path depends on which service it is.
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
