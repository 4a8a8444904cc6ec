#pragma once

#include <base/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sycamore::requests {

// Quantiles of recent latencies, from a histogram with relative bucket widths of 19% (four buckets
// per power of two). The window consists of two halves that rotate, so that old samples are
// discarded. Not thread-safe.
class LatencyWindow
{
public:
  explicit LatencyWindow(base::Duration length = std::chrono::seconds(10));

  void add(base::Duration latency, base::TimePoint now);

  // Returns the upper edge of the bucket that holds the quantile, or nothing if there are fewer
  // than `minSamples`.
  std::optional<base::Duration> quantile(double fraction, std::size_t minSamples = 20) const;

private:
  static constexpr std::size_t kBuckets = 160;
  using Half = std::array<std::uint32_t, kBuckets>;

  void rotate(base::TimePoint now);

  base::Duration halfLength_;
  std::int64_t halfIndex_ = 0;
  Half current_{};
  Half previous_{};
  std::size_t currentCount_ = 0;
  std::size_t previousCount_ = 0;
};

} // namespace sycamore::requests
