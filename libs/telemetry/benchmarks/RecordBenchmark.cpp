#include <telemetry/BurnBook.h>
#include <telemetry/RequestMetrics.h>

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

void recordBurn(benchmark::State& state)
{
  static telemetry::BurnBook book;
  if (state.thread_index() == 0) {
    book.setServices({ { base::ServiceId("layout"), {} } }, kNow);
  }
  const auto sample = sampleOf(0);
  for (auto _ : state) {
    book.recordAnswer(sample, kNow);
  }
}
BENCHMARK(recordBurn)->ThreadRange(1, 8)->UseRealTime();

} // namespace
