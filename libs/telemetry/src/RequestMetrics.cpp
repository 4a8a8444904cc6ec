#include <telemetry/RequestMetrics.h>

#include <mutex>

namespace sycamore::telemetry {

namespace {

const MetricFamily kRequests{ "sycamore_requests_total",
                              "Finished requests of callers.",
                              { "service", "outcome", "reason" } };
const MetricFamily kLatency{ "sycamore_request_latency_seconds",
                             "Time from a caller's request to the end of its answer.",
                             { "service" } };
const MetricFamily kAttempts{ "sycamore_request_attempts_total",
                              "Sends to backend servers, retries included.",
                              { "service" } };
const MetricFamily kTruncated{ "sycamore_requests_broken_off_total",
                               "Answers that broke off before their end.",
                               { "service" } };

constexpr std::size_t kReasonCount = static_cast<std::size_t>(requests::Reason::Internal) + 1;
constexpr std::size_t kOutcomeCount = 3;
// Requests refused before the service lookup carry an arbitrary service name from the caller.
constexpr std::size_t kMaxServices = 200;

} // namespace

struct RequestMetrics::ServiceMetrics
{
  std::string name;
  LatencyHistogram& latency;
  Counter& attempts;
  Counter& truncated;
  // Looked up on first use, because most combinations never occur.
  std::array<std::atomic<Counter*>, kReasonCount * kOutcomeCount> requests{};
};

RequestMetrics::RequestMetrics(MetricRegistry& registry)
  : registry_(registry)
{
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::record(const RequestSample& sample)
{
  const bool isKnown = sample.reason != requests::Reason::UnknownService;
  ServiceMetrics& metrics = metricsOf(isKnown ? sample.service : base::ServiceId("unknown"));
  requestCounter(metrics, sample).add();
  metrics.latency.record(sample.latency);
  metrics.attempts.add(sample.attempts);
  if (sample.isTruncated) {
    metrics.truncated.add();
  }
}

RequestMetrics::ServiceMetrics& RequestMetrics::metricsOf(const base::ServiceId& service)
{
  {
    const std::shared_lock lock(mutex_);
    const auto found = services_.find(service);
    if (found != services_.end()) {
      return *found->second;
    }
  }
  const std::unique_lock lock(mutex_);
  const bool isFull = services_.size() >= kMaxServices && !services_.contains(service);
  const base::ServiceId name = isFull ? base::ServiceId("other") : service;
  auto& metrics = services_[name];
  if (!metrics) {
    const std::vector<std::string> values{ name.value() };
    metrics.reset(new ServiceMetrics{ name.value(),
                                      registry_.histogram(kLatency, values),
                                      registry_.counter(kAttempts, values),
                                      registry_.counter(kTruncated, values) });
  }
  return *metrics;
}

Counter& RequestMetrics::requestCounter(ServiceMetrics& metrics, const RequestSample& sample)
{
  const auto outcome = static_cast<std::size_t>(sample.outcome);
  const auto reason = static_cast<std::size_t>(sample.reason);
  std::atomic<Counter*>& slot = metrics.requests.at(outcome * kReasonCount + reason);
  Counter* counter = slot.load(std::memory_order_acquire);
  if (counter == nullptr) {
    counter = &registry_.counter(kRequests,
                                 { metrics.name,
                                   std::string(requests::outcomeName(sample.outcome)),
                                   std::string(requests::reasonName(sample.reason)) });
    slot.store(counter, std::memory_order_release);
  }
  return *counter;
}

} // namespace sycamore::telemetry
