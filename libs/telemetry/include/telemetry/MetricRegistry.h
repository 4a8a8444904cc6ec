#pragma once

#include <telemetry/Counter.h>
#include <telemetry/Gauge.h>
#include <telemetry/LatencyHistogram.h>
#include <telemetry/MetricFamily.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::telemetry {

// All metrics of a process, in Prometheus' text format. Safe from all threads. Looking a series up
// takes a lock, so that frequent users keep the reference, which lives as long as the registry.
// A family holds at most maxSeries series: what comes later shares one series whose labels are all
// "other", because label values can stem from callers.
class MetricRegistry
{
public:
  explicit MetricRegistry(std::size_t maxSeries = 500);

  // Values are given in the order of the family's labels. Throws TelemetryError for an invalid name
  // or label, for a number of values that doesn't fit, and for a name in use by another kind.
  Counter& counter(const MetricFamily& family, const std::vector<std::string>& values = {});
  Gauge& gauge(const MetricFamily& family, const std::vector<std::string>& values = {});
  LatencyHistogram& histogram(const MetricFamily& family,
                              const std::vector<std::string>& values = {});

  // Lookups that were answered with the "other" series.
  std::uint64_t overflows() const { return overflows_.value(); }

  // Text format 0.0.4.
  std::string prometheusText() const;

private:
  using Series = std::
    variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;
  struct Entry
  {
    MetricFamily family;
    std::size_t kind = 0;
    std::map<std::vector<std::string>, Series> series;
  };

  template<typename Metric>
  Metric& findOrCreate(const MetricFamily& family, const std::vector<std::string>& values);
  template<typename Metric>
  Entry& findOrCreateEntry(const MetricFamily& family);
  static void writeEntry(std::string& out, const Entry& entry);

  const std::size_t maxSeries_;
  Counter overflows_;
  mutable std::mutex mutex_;
  std::map<std::string, Entry> entries_;
};

} // namespace sycamore::telemetry
