#pragma once

#include <base/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sycamore::requests {

// Quantiles of recent latencies, from a histogram with relative buckets of 19% (four per power of
// two). Two halves of the window rotate, so that old samples leave. Not thread-safe.
class LatencyWindow
{
public:
  explicit LatencyWindow(base::Duration length = std::chrono::seconds(10));

  void add(base::Duration latency, base::TimePoint now);

  // The upper edge of the bucket that holds the quantile, or nothing with fewer than `minSamples`.
  std::optional<base::Duration> quantile(double share, std::size_t minSamples = 20) const;

private:
  static constexpr std::size_t kBuckets = 160;
  using Half = std::array<std::uint32_t, kBuckets>;

  void rotate(base::TimePoint now);

  base::Duration halfLength_;
  std::int64_t half_ = 0;
  Half current_{};
  Half previous_{};
  std::size_t currentCount_ = 0;
  std::size_t previousCount_ = 0;
};

} // namespace sycamore::requests
