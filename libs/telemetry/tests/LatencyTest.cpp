#include <telemetry/LatencyHistogram.h>
#include <telemetry/TelemetryError.h>

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace sycamore;
using telemetry::LatencyCounts;

namespace {

LatencyCounts countsOf(const std::vector<std::int64_t>& latencies)
{
  LatencyCounts counts;
  for (const std::int64_t latency : latencies) {
    counts.record(base::Duration(latency));
  }
  return counts;
}

// Latencies in nanoseconds from below the axis to above it, log-uniformly distributed.
const auto kLatencies = rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
  rc::gen::map(rc::gen::inRange(300, 1140), [](int exponent) {
    return static_cast<std::int64_t>(std::pow(10, exponent / 100.0));
  })));

} // namespace

// Guards against a quantile whose error exceeds the bin ratio: the exact value must lie in the
// reported bin.
TEST_CASE("the bin of a quantile contains the exact value and is no wider than the bin ratio")
{
  CHECK(rc::check([] {
    auto latencies = *kLatencies;
    const double q = *rc::gen::inRange(1, 1001) / 1000.0;
    const auto bounds = countsOf(latencies).quantile(q);
    std::sort(latencies.begin(), latencies.end());
    const auto rank = static_cast<std::size_t>(std::ceil(q * double(latencies.size())));
    const double exact = double(latencies[std::max<std::size_t>(rank, 1) - 1]) * 1e-9;
    RC_ASSERT(bounds->low <= exact * (1 + 1e-9));
    RC_ASSERT(exact <= bounds->high * (1 + 1e-9));
    if (bounds->low > 0 && std::isfinite(bounds->high)) {
      RC_ASSERT(bounds->high / bounds->low <= telemetry::kLatencyBinRatio * (1 + 1e-9));
    }
  }));
}

// Guards against a merge or a round trip through JSON that loses counts or changes their bin.
TEST_CASE("merged counts equal the counts of all values")
{
  CHECK(rc::check([] {
    const auto left = *kLatencies;
    auto all = *kLatencies;
    auto merged = LatencyCounts::fromJson(countsOf(left).toJson());
    merged += LatencyCounts::fromJson(countsOf(all).toJson());
    all.insert(all.end(), left.begin(), left.end());
    RC_ASSERT(merged == countsOf(all));
    RC_ASSERT(merged.total() == all.size());
  }));
}

// Guards against a zero or negative latency that is counted above 100 s.
TEST_CASE("zero and negative latencies are counted below the axis")
{
  CHECK(LatencyCounts::bin(base::Duration(0)) == -1);
  CHECK(LatencyCounts::bin(base::Duration(-5)) == -1);
  CHECK(LatencyCounts::bin(std::chrono::hours(1)) == telemetry::kLatencyBins);
}

// Guards against malformed counts of a peer that are written outside the bins.
TEST_CASE("malformed latencies are refused")
{
  for (const char* text : { "{}", "[1]", "[145,1]", "[-2,1]", "[1,-1]", "[1.5,1]", "[\"1\",1]" }) {
    CHECK_THROWS_AS(LatencyCounts::fromJson(nlohmann::json::parse(text)),
                    telemetry::TelemetryError);
  }
}

// Guards against lost updates of concurrent threads.
TEST_CASE("concurrently recorded latencies are all counted")
{
  constexpr int kRecordsPerThread = 20000;
  telemetry::LatencyHistogram histogram;
  std::vector<std::jthread> threads;
  for (int i = 0; i < 12; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kRecordsPerThread; ++j) {
        histogram.record(base::milliseconds(1));
      }
    });
  }
  threads.clear();
  CHECK(histogram.snapshot().total() == 12 * kRecordsPerThread);
  CHECK(histogram.sum() == base::milliseconds(12 * kRecordsPerThread));
}
