#include <entry/TrafficMetrics.h>

#include <telemetry/PrometheusText.h>

namespace sycamore::entry {

namespace {

// Maximum number of routes with their own series: a histogram takes about 1.2 kB, and a
// configuration may have thousands of routes.
constexpr std::size_t kMaxRouteSeries = 64;
const char* const kName = "sycamore_entry_request_seconds";

const char* outcomeName(RequestOutcome outcome)
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
  const bool hasOwnSeries = series_.contains(key);
  Outcomes& outcomes =
    hasOwnSeries || series_.size() < kMaxRouteSeries ? series_[key] : series_[{ service, "other" }];
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
                                { key.first.value(), key.second, outcomeName(outcome) },
                                series.latency,
                                std::chrono::duration<double>(series.sum).count());
    }
  }
}

} // namespace sycamore::entry
