#include <telemetry/LatencyHistogram.h>

#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace sycamore::telemetry {

namespace {

// Trade-off between contention on a stripe and memory: 1.2 KB per stripe and series.
constexpr std::size_t kStripes = 8;

using AtomicCount = boost::histogram::accumulators::thread_safe<std::uint64_t>;
using AtomicCounts = boost::histogram::histogram<std::tuple<LatencyAxis>,
                                                 boost::histogram::dense_storage<AtomicCount>>;

// Returns the stripe of the calling thread, which is assigned at its first call and never changes.
std::size_t stripeOfThread()
{
  static std::atomic<std::size_t> next{ 0 };
  thread_local const std::size_t stripe = next.fetch_add(1, std::memory_order_relaxed) % kStripes;
  return stripe;
}

} // namespace

struct alignas(64) LatencyHistogram::Stripe
{
  AtomicCounts counts =
    boost::histogram::make_histogram_with(boost::histogram::dense_storage<AtomicCount>(),
                                          makeLatencyAxis());
  std::atomic<base::Duration::rep> sum{ 0 };
};

LatencyHistogram::LatencyHistogram()
  : stripes_(std::make_unique<Stripe[]>(kStripes))
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(base::Duration latency)
{
  Stripe& stripe = stripes_[stripeOfThread()];
  ++stripe.counts.at(LatencyCounts::bin(latency));
  stripe.sum.fetch_add(latency.count(), std::memory_order_relaxed);
}

LatencyCounts LatencyHistogram::snapshot() const
{
  LatencyCounts result;
  for (std::size_t i = 0; i < kStripes; ++i) {
    for (int bin = -1; bin <= kLatencyBins; ++bin) {
      result.add(bin, stripes_[i].counts.at(bin).load(std::memory_order_relaxed));
    }
  }
  return result;
}

base::Duration LatencyHistogram::sum() const
{
  base::Duration::rep total = 0;
  for (std::size_t i = 0; i < kStripes; ++i) {
    total += stripes_[i].sum.load(std::memory_order_relaxed);
  }
  return base::Duration(total);
}

} // namespace sycamore::telemetry
