#pragma once

#include <telemetry/MetricRegistry.h>
#include <telemetry/RequestSample.h>

#include <array>
#include <atomic>
#include <memory>
#include <shared_mutex>
#include <unordered_map>

namespace sycamore::telemetry {

// Counts the requests of each service by outcome and reason, their latency and attempts.
// Thread-safe.
class RequestMetrics
{
public:
  // The registry must outlive this object.
  explicit RequestMetrics(MetricRegistry& registry);
  ~RequestMetrics();

  // Requests for unknown services are counted under the service "unknown", because their names are
  // arbitrary input of callers.
  void record(const RequestSample& sample);

private:
  struct ServiceMetrics;

  ServiceMetrics& metricsOf(const base::ServiceId& service);
  Counter& requestCounter(ServiceMetrics& metrics, const RequestSample& sample);

  MetricRegistry& registry_;
  std::shared_mutex mutex_;
  std::unordered_map<base::ServiceId, std::unique_ptr<ServiceMetrics>> services_;
};

} // namespace sycamore::telemetry
