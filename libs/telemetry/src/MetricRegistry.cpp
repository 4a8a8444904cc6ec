#include <telemetry/MetricRegistry.h>

#include <telemetry/PrometheusText.h>
#include <telemetry/TelemetryError.h>

#include <algorithm>

namespace sycamore::telemetry {

namespace {

constexpr std::size_t kMaxFamilies = 256;
constexpr const char* kKindNames[] = { "counter", "gauge", "histogram" };
const std::string kOverflowLabel = "other";

bool isLetterOrUnderscore(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool isValidName(const std::string& name)
{
  return !name.empty() && isLetterOrUnderscore(name[0]) &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return isLetterOrUnderscore(c) || (c >= '0' && c <= '9');
         });
}

void checkFamily(const MetricFamily& family, std::size_t kind)
{
  const bool hasValidSuffix = kind == 0   ? family.name.ends_with("_total")
                              : kind == 2 ? family.name.ends_with("_seconds")
                                          : true;
  const bool hasValidLabels =
    family.labels.size() <= kMaxLabels &&
    std::all_of(family.labels.begin(), family.labels.end(), [](auto& label) {
      return isValidName(label) && !label.starts_with("__") && label != "le";
    });
  if (!isValidName(family.name) || !hasValidSuffix || !hasValidLabels) {
    throw TelemetryError("the metric " + family.name + " has an invalid name or label");
  }
}

template<typename Metric>
constexpr std::size_t kKind = std::is_same_v<Metric, Counter> ? 0
                              : std::is_same_v<Metric, Gauge> ? 1
                                                              : 2;

} // namespace

MetricRegistry::MetricRegistry(std::size_t maxSeries)
  : maxSeries_(maxSeries)
{
}

template<typename Metric>
MetricRegistry::Entry& MetricRegistry::findOrCreateEntry(const MetricFamily& family)
{
  constexpr std::size_t kMetricKind = kKind<Metric>;
  auto found = entries_.find(family.name);
  if (found == entries_.end()) {
    checkFamily(family, kMetricKind);
    if (entries_.size() >= kMaxFamilies) {
      throw TelemetryError("the metric " + family.name + " exceeds the limit of " +
                           std::to_string(kMaxFamilies) + " metrics");
    }
    found = entries_.emplace(family.name, Entry{ family, kMetricKind, {} }).first;
  }
  if (found->second.kind != kMetricKind || found->second.family.labels != family.labels) {
    throw TelemetryError("the metric " + family.name +
                         " is already declared with another type or other labels");
  }
  return found->second;
}

template<typename Metric>
Metric& MetricRegistry::findOrCreate(const MetricFamily& family,
                                     const std::vector<std::string>& values)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = findOrCreateEntry<Metric>(family);
  if (values.size() != family.labels.size()) {
    throw TelemetryError(
      "the metric " + family.name + " got a wrong number of label values: expected " +
      std::to_string(family.labels.size()) + ", got " + std::to_string(values.size()));
  }
  auto found = entry.series.find(values);
  // One place is reserved for the overflow series.
  if (found == entry.series.end() && entry.series.size() + 1 >= maxSeries_) {
    overflows_.add();
    found = entry.series.try_emplace(std::vector<std::string>(values.size(), kOverflowLabel)).first;
  } else if (found == entry.series.end()) {
    found = entry.series.try_emplace(values).first;
  }
  auto* metric = std::get_if<std::unique_ptr<Metric>>(&found->second);
  if (metric == nullptr || !*metric) {
    metric = &found->second.template emplace<std::unique_ptr<Metric>>(std::make_unique<Metric>());
  }
  return **metric;
}

Counter& MetricRegistry::counter(const MetricFamily& family, const std::vector<std::string>& values)
{
  return findOrCreate<Counter>(family, values);
}

Gauge& MetricRegistry::gauge(const MetricFamily& family, const std::vector<std::string>& values)
{
  return findOrCreate<Gauge>(family, values);
}

LatencyHistogram& MetricRegistry::histogram(const MetricFamily& family,
                                            const std::vector<std::string>& values)
{
  return findOrCreate<LatencyHistogram>(family, values);
}

void MetricRegistry::writeEntry(std::string& out, const Entry& entry)
{
  const MetricFamily& family = entry.family;
  writeMetricHeader(out, family.name, family.help, kKindNames[entry.kind]);
  for (const auto& [values, series] : entry.series) {
    if (entry.kind == 2) {
      const auto& histogram = *std::get<2>(series);
      const double sum = std::chrono::duration<double>(histogram.sum()).count();
      writeHistogram(out, family.name, family.labels, values, histogram.snapshot(), sum);
    } else {
      const std::string number = entry.kind == 0 ? std::to_string(std::get<0>(series)->value())
                                                 : numberText(std::get<1>(series)->value());
      out += family.name + labelText(family.labels, values) + ' ' + number + '\n';
    }
  }
}

std::string MetricRegistry::prometheusText() const
{
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, entry] : entries_) {
    writeEntry(out, entry);
  }
  writeMetricHeader(out,
                    "sycamore_metric_overflows_total",
                    "Lookups of series beyond the bound of their metric.",
                    "counter");
  out += "sycamore_metric_overflows_total " + std::to_string(overflows_.value()) + '\n';
  return out;
}

} // namespace sycamore::telemetry
