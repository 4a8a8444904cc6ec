#pragma once

#include <base/Time.h>

#include <cmath>
#include <cstdint>
#include <optional>

namespace sycamore::dispatch {

// Number of requests that a server answered, and their total processing time in its slots.
struct WorkSample
{
  std::uint32_t count = 0;
  base::Duration total{};
};

// Exponentially weighted mean of a request's processing time in a slot, over the samples of all
// entry VMs.
class WorkMean
{
public:
  void add(const WorkSample& sample, base::TimePoint now)
  {
    const double factor = decay(now);
    count_ = count_ * factor + sample.count;
    total_ = total_ * factor + std::chrono::duration<double>(sample.total).count();
    updatedAt_ = now;
  }

  // Returns the mean in seconds. The assumed time counts as a few requests, so that few samples
  // don't dominate the mean.
  double seconds(double assumed) const
  {
    return (total_ + assumed * kAssumedCount) / (count_ + kAssumedCount);
  }

  // Returns the weight of the samples: their number, less the older they are.
  double count(base::TimePoint now) const { return count_ * decay(now); }

  // Returns the mean of the samples alone, in seconds. There has to be one.
  double measuredSeconds() const { return total_ / count_; }

private:
  double decay(base::TimePoint now) const
  {
    return std::exp(-std::chrono::duration<double>(now - updatedAt_).count() / kMeanSeconds);
  }

  // Time constant: long enough to average out momentary slowness, short enough to detect a server
  // that becomes slow.
  static constexpr double kMeanSeconds = 4;
  static constexpr double kAssumedCount = 2;

  double count_ = 0;
  double total_ = 0;
  base::TimePoint updatedAt_{};
};

} // namespace sycamore::dispatch
