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

// Histogram of latencies. A plain value that can be merged; not thread-safe.
class LatencyCounts
{
public:
  LatencyCounts();

  void record(base::Duration latency) { add(bin(latency), 1); }
  // Adds to the count of a bin. Bin -1 lies below the axis, bin kLatencyBins above it.
  void add(int bin, std::uint64_t count);
  LatencyCounts& operator+=(const LatencyCounts& other);

  std::uint64_t total() const { return total_; }
  std::uint64_t at(int bin) const;
  // Returns the number of latencies up to the upper edge of a bin.
  std::uint64_t cumulative(int bin) const;

  // Returns the bin of the value with rank ceil(q * total), or nothing if the histogram is empty.
  // Requires 0 < q <= 1.
  std::optional<LatencyBounds> quantile(double q) const;

  // Returns [bin, count, bin, count, ...] of the bins that are not empty.
  nlohmann::json toJson() const;
  // Parses the array that toJson() returns. Throws TelemetryError if it is malformed.
  static LatencyCounts fromJson(const nlohmann::json& encoded);

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
