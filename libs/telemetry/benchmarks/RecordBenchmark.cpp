#include <telemetry/RequestMetrics.h>
#include <telemetry/ServiceLevelRegistry.h>

#include <benchmark/benchmark.h>

using namespace sycamore;

namespace {

constexpr base::TimePoint kNow{ std::chrono::seconds(1000) };

telemetry::RequestSample sampleOf(std::uint64_t i)
{
  return { base::ServiceId("layout"),
           requests::Outcome::Ran,
           requests::Reason::None,
           std::chrono::microseconds(500 + (i * 7919) % 20000),
           1,
           false };
}

void recordLatency(benchmark::State& state)
{
  static telemetry::LatencyHistogram histogram;
  std::uint64_t i = 0;
  for (auto _ : state) {
    histogram.record(std::chrono::microseconds(500 + (++i * 7919) % 20000));
  }
}
BENCHMARK(recordLatency)->ThreadRange(1, 8)->UseRealTime();

void recordRequest(benchmark::State& state)
{
  static telemetry::MetricRegistry registry;
  static telemetry::RequestMetrics metrics(registry);
  auto sample = sampleOf(0);
  for (auto _ : state) {
    metrics.record(sample);
  }
}
BENCHMARK(recordRequest)->ThreadRange(1, 8)->UseRealTime();

void recordServiceLevel(benchmark::State& state)
{
  static telemetry::ServiceLevelRegistry serviceLevels;
  if (state.thread_index() == 0) {
    serviceLevels.setServices({ { base::ServiceId("layout"), {} } }, kNow);
  }
  const auto sample = sampleOf(0);
  for (auto _ : state) {
    serviceLevels.recordAnswer(sample, kNow);
  }
}
BENCHMARK(recordServiceLevel)->ThreadRange(1, 8)->UseRealTime();

} // namespace
