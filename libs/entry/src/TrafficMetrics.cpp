#include <entry/TrafficMetrics.h>

#include <telemetry/PrometheusText.h>

namespace sycamore::entry {

namespace {

// Routes with a series of their own: a histogram takes about 1.2 kB, and a configuration may have
// thousands of routes.
constexpr std::size_t kMaxRoutes = 64;
const char* const kName = "sycamore_entry_request_seconds";

const char* nameOf(RequestOutcome outcome)
{
  switch (outcome) {
    case RequestOutcome::Answered:
      return "answered";
    case RequestOutcome::Refused:
      return "refused";
    case RequestOutcome::Failed:
      return "failed";
  }
  return "";
}

} // namespace

void TrafficMetrics::record(const base::ServiceId& service,
                            const std::string& route,
                            RequestOutcome outcome,
                            base::Duration latency)
{
  const std::pair key(service, route);
  const bool known = series_.contains(key);
  Outcomes& outcomes =
    known || series_.size() < kMaxRoutes ? series_[key] : series_[{ service, "other" }];
  Series& series = outcomes[outcome];
  series.latency.record(latency);
  series.sum += latency;
}

void TrafficMetrics::write(std::string& out) const
{
  telemetry::writeMetricHeader(
    out, kName, "Time from a request's first byte to its answer, by outcome.", "histogram");
  for (const auto& [key, outcomes] : series_) {
    for (const auto& [outcome, series] : outcomes) {
      telemetry::writeHistogram(out,
                                kName,
                                { "service", "route", "outcome" },
                                { key.first.value(), key.second, nameOf(outcome) },
                                series.latency,
                                std::chrono::duration<double>(series.sum).count());
    }
  }
}

} // namespace sycamore::entry
