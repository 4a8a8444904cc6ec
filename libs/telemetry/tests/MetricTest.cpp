#include <telemetry/PrometheusText.h>
#include <telemetry/RequestMetrics.h>
#include <telemetry/TelemetryError.h>

#include <doctest/doctest.h>

using namespace sycamore;
using telemetry::MetricRegistry;

namespace {

bool contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a label value that terminates its quoted string or its line.
TEST_CASE("label values are escaped")
{
  MetricRegistry registry;
  registry.counter({ "a_total", "line\nbreak", { "name" } }, { "q\"b\\n\n" }).add(3);
  const std::string text = registry.prometheusText();
  CHECK(contains(text, "# HELP a_total line\\nbreak\n# TYPE a_total counter\n"));
  CHECK(contains(text, "a_total{name=\"q\\\"b\\\\n\\n\"} 3\n"));
}

// Guards against memory that grows with label values chosen by callers.
TEST_CASE("the number of series stays bounded and further values are counted as other")
{
  MetricRegistry registry(10);
  for (int i = 0; i < 1000; ++i) {
    registry.counter({ "a_total", "", { "name" } }, { std::to_string(i) }).add();
  }
  CHECK(registry.overflows() == 991);
  CHECK(registry.counter({ "a_total", "", { "name" } }, { "other" }).value() == 991);
  CHECK(registry.counter({ "a_total", "", { "name" } }, { "8" }).value() == 1);
}

// Guards against metric names without a unit, and against one name for two types.
TEST_CASE("invalid metric declarations are refused")
{
  MetricRegistry registry;
  registry.gauge({ "b_total", "", {} });
  CHECK_THROWS_AS(registry.counter({ "a", "", {} }), telemetry::TelemetryError);
  CHECK_THROWS_AS(registry.histogram({ "a_ms", "", {} }), telemetry::TelemetryError);
  CHECK_THROWS_AS(registry.counter({ "b_total", "", {} }), telemetry::TelemetryError);
  CHECK_THROWS_AS(registry.counter({ "1_total", "", {} }), telemetry::TelemetryError);
  CHECK_THROWS_AS(registry.gauge({ "c", "", { "le" } }), telemetry::TelemetryError);
  CHECK_THROWS_AS(registry.gauge({ "c", "", { "x" } }), telemetry::TelemetryError);
}

// Guards against buckets that are not cumulative or not in seconds.
TEST_CASE("histograms are written in cumulative buckets of seconds")
{
  MetricRegistry registry;
  auto& histogram = registry.histogram({ "h_seconds", "", {} });
  histogram.record(base::milliseconds(5));
  histogram.record(base::milliseconds(50));
  histogram.record(std::chrono::seconds(500));
  const std::string text = registry.prometheusText();
  CHECK(contains(text, "h_seconds_bucket{le=\"0.01\"} 1\n"));
  CHECK(contains(text, "h_seconds_bucket{le=\"0.1\"} 2\n"));
  CHECK(contains(text, "h_seconds_bucket{le=\"100\"} 2\n"));
  CHECK(contains(text, "h_seconds_bucket{le=\"+Inf\"} 3\n"));
  CHECK(contains(text, "h_seconds_sum 500.055\nh_seconds_count 3\n"));
}

// Guards against a series for each unknown service name, and against swapped outcomes.
TEST_CASE("requests are counted by service, outcome and reason")
{
  MetricRegistry registry;
  telemetry::RequestMetrics metrics(registry);
  metrics.record({ base::ServiceId("layout"), requests::Outcome::Ran, {}, {}, 2, false });
  for (const char* service : { "x1", "x2" }) {
    metrics.record({ base::ServiceId(service),
                     requests::Outcome::NotRun,
                     requests::Reason::UnknownService,
                     {},
                     0,
                     false });
  }
  const std::string text = registry.prometheusText();
  CHECK(contains(text, "{service=\"layout\",outcome=\"ran\",reason=\"\"} 1\n"));
  CHECK(contains(text, "{service=\"unknown\",outcome=\"not-run\",reason=\"unknown-service\"} 2\n"));
  CHECK(contains(text, "sycamore_request_attempts_total{service=\"layout\"} 2\n"));
  CHECK(!contains(text, "x1"));
}
