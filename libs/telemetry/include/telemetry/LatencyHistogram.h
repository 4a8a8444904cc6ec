#pragma once

#include <base/Time.h>
#include <telemetry/LatencyCounts.h>

#include <memory>

namespace sycamore::telemetry {

// Latency histogram for concurrent writers. Threads are spread over stripes, each with its own
// counters, so that they rarely share a cache line. All methods are thread-safe; record() is
// lock-free. Takes about 10 KB.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void record(base::Duration latency);

  // Returns the counts of all stripes. A latency recorded during the call may be missing.
  LatencyCounts snapshot() const;
  base::Duration sum() const;

private:
  struct Stripe;
  std::unique_ptr<Stripe[]> stripes_;
};

} // namespace sycamore::telemetry
