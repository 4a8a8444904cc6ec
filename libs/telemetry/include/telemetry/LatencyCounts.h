#pragma once

#include <base/Time.h>
#include <telemetry/LatencyAxis.h>
#include <telemetry/LatencyBounds.h>

#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>

namespace sycamore::telemetry {

// Counts of latencies per bin. A plain value: mergeable, and not thread-safe.
class LatencyCounts
{
public:
  LatencyCounts();

  void record(base::Duration latency) { add(bin(latency), 1); }
  // Adds to a bin: -1 is below the axis, kLatencyBins above it.
  void add(int bin, std::uint64_t count);
  LatencyCounts& operator+=(const LatencyCounts& other);

  std::uint64_t total() const { return total_; }
  std::uint64_t at(int bin) const;
  // Latencies at or below the upper edge of a bin.
  std::uint64_t cumulative(int bin) const;

  // The bin of the value with rank ceil(q * total), or nothing without values; 0 < q <= 1.
  std::optional<LatencyBounds> quantile(double q) const;

  // [bin, count, bin, count, ...] of the bins that are not empty.
  nlohmann::json toJson() const;
  // Throws TelemetryError for a malformed form.
  static LatencyCounts fromJson(const nlohmann::json& array);

  static int bin(base::Duration latency);
  static LatencyBounds bounds(int bin);

  friend bool operator==(const LatencyCounts& left, const LatencyCounts& right)
  {
    return left.counts_ == right.counts_;
  }

private:
  using Counts = boost::histogram::histogram<std::tuple<LatencyAxis>,
                                             boost::histogram::dense_storage<std::uint64_t>>;
  Counts counts_;
  std::uint64_t total_ = 0;
};

} // namespace sycamore::telemetry
