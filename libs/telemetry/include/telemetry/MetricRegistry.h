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

// All metrics of a process, exported in the Prometheus text format. Thread-safe. Looking up a
// series takes a lock, so frequent users keep the returned reference, which stays valid as long as
// the registry. A family holds at most maxSeries series, because label values can come from
// callers: further label values share one series whose labels are all "other".
class MetricRegistry
{
public:
  explicit MetricRegistry(std::size_t maxSeries = 500);

  // Return the series with the given label values, which are in the order of the family's labels,
  // and create it if needed. Throw TelemetryError for an invalid name or label, for a wrong number
  // of values, and for a name that is already in use with another type or other labels.
  Counter& counter(const MetricFamily& family, const std::vector<std::string>& values = {});
  Gauge& gauge(const MetricFamily& family, const std::vector<std::string>& values = {});
  LatencyHistogram& histogram(const MetricFamily& family,
                              const std::vector<std::string>& values = {});

  // Returns the number of lookups that were given the "other" series.
  std::uint64_t overflows() const { return overflows_.value(); }

  // Returns all metrics in version 0.0.4 of the text format.
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
