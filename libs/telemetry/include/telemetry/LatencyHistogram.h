#pragma once

#include <base/Time.h>
#include <telemetry/LatencyCounts.h>

#include <memory>

namespace sycamore::telemetry {

// Counts latencies of many threads. Threads are spread over stripes with counters of their own, so
// that they rarely share a cache line. All methods are safe from all threads; record() takes no
// lock. About 10 KB.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void record(base::Duration latency);

  // A record made during the call may be missing.
  LatencyCounts snapshot() const;
  base::Duration sum() const;

private:
  struct Stripe;
  std::unique_ptr<Stripe[]> stripes_;
};

} // namespace sycamore::telemetry
