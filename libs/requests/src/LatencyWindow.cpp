#include <requests/LatencyWindow.h>

#include <algorithm>
#include <cmath>

namespace sycamore::requests {

namespace {

constexpr double kBucketsPerDoubling = 4;

} // namespace

LatencyWindow::LatencyWindow(base::Duration length)
  : halfLength_(std::max<base::Duration>(length / 2, base::Duration(1)))
{
}

void LatencyWindow::add(base::Duration latency, base::TimePoint now)
{
  rotate(now);
  const double nanos = std::max<double>(1, static_cast<double>(latency.count()));
  const auto bucket = static_cast<std::size_t>(kBucketsPerDoubling * std::log2(nanos));
  ++current_[std::min(bucket, kBuckets - 1)];
  ++currentCount_;
}

std::optional<base::Duration> LatencyWindow::quantile(double fraction, std::size_t minSamples) const
{
  const std::size_t count = currentCount_ + previousCount_;
  if (count == 0 || count < minSamples) {
    return std::nullopt;
  }
  const double rank = fraction * static_cast<double>(count);
  double cumulativeCount = 0;
  std::size_t bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    cumulativeCount += current_[bucket] + previous_[bucket];
    if (cumulativeCount >= rank) {
      break;
    }
  }
  const double edge = std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling);
  return base::Duration(static_cast<base::Duration::rep>(edge));
}

void LatencyWindow::rotate(base::TimePoint now)
{
  const std::int64_t halfIndex = now.time_since_epoch() / halfLength_;
  if (halfIndex <= halfIndex_) {
    return;
  }
  const bool adjacent = halfIndex == halfIndex_ + 1;
  previous_ = adjacent ? current_ : Half{};
  previousCount_ = adjacent ? currentCount_ : 0;
  current_ = {};
  currentCount_ = 0;
  halfIndex_ = halfIndex;
}

} // namespace sycamore::requests
