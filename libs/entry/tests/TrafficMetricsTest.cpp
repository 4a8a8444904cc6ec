#include <entry/TrafficMetrics.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using std::chrono::milliseconds;

TEST_CASE("requests are counted with their latency by service, route and outcome")
{
  TrafficMetrics metrics;
  metrics.record(base::ServiceId("layout"), "plan", RequestOutcome::Answered, milliseconds(20));
  metrics.record(base::ServiceId("layout"), "plan", RequestOutcome::Answered, milliseconds(40));
  metrics.record(base::ServiceId("layout"), "plan", RequestOutcome::Refused, milliseconds(1));
  std::string text;
  metrics.write(text);
  const std::string labels = R"({service="layout",route="plan",outcome=")";
  CHECK(text.find("_count" + labels + "answered\"} 2") != std::string::npos);
  CHECK(text.find("_sum" + labels + "answered\"} 0.06") != std::string::npos);
  CHECK(text.find("_count" + labels + "refused\"} 1") != std::string::npos);
  CHECK(text.find("failed") == std::string::npos);
}

// Guards against memory that grows with the number of routes in a configuration.
TEST_CASE("routes beyond the maximum number of series share the series \"other\"")
{
  TrafficMetrics metrics;
  for (int i = 0; i < 2000; ++i) {
    metrics.record(base::ServiceId("layout"),
                   "route-" + std::to_string(i),
                   RequestOutcome::Failed,
                   milliseconds(1));
  }
  std::string text;
  metrics.write(text);
  CHECK(text.find(R"(_count{service="layout",route="other",outcome="failed"} 1936)") !=
        std::string::npos);
}
