#include "Measurements.h"
#include "StragglerFleet.h"

#include <string_view>

namespace sycamore::quality {

namespace {

struct PolicyName
{
  Policy policy;
  std::string_view name;
};

constexpr PolicyName kPolicies[] = { { Policy::RoundRobin, "round_robin" },
                                     { Policy::LeastConnections, "least_connections" },
                                     { Policy::Picker, "picker" },
                                     { Policy::HedgedPicker, "hedged_picker" } };

// The target in the page for tail latency while servers are slowed.
constexpr double kMaxRatio = 1.3;

struct Quantiles
{
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

Quantiles medianQuantiles(const Scenario& scenario, StragglerSetup setup, int runs)
{
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> p999;
  for (int run = 0; run < runs; ++run, ++setup.seed) {
    std::vector<double> latencies = StragglerFleet(scenario, setup).run();
    p50.push_back(quantile(latencies, 0.5));
    p99.push_back(quantile(latencies, 0.99));
    p999.push_back(quantile(latencies, 0.999));
  }
  return { median(p50), median(p99), median(p999) };
}

struct Ratio
{
  Quantiles disturbed;
  double p99Ratio = 0;
};

Ratio compare(const Scenario& scenario, StragglerSetup setup, int runs)
{
  const Quantiles disturbed = medianQuantiles(scenario, setup, runs);
  setup.slowShare = 0;
  const Quantiles calm = medianQuantiles(scenario, setup, runs);
  return { disturbed, disturbed.p99 / calm.p99 };
}

void addQuantiles(QualityReport& report,
                  const std::string& where,
                  std::string_view policy,
                  const Quantiles& q)
{
  const std::string name = "straggler_" + std::string(policy);
  report.add({ name + "_p50", where, q.p50, "ms", {}, "", {} });
  report.add({ name + "_p99", where, q.p99, "ms", {}, "", {} });
  report.add({ name + "_p999", where, q.p999, "ms", {}, "", {} });
}

void measureOne(QualityReport& report, const Scenario& scenario, int servers, int percent)
{
  const std::string where =
    scenario.name + "/" + std::to_string(servers) + "/slow" + std::to_string(percent);
  std::vector<Ratio> ratios;
  for (const PolicyName& policy : kPolicies) {
    const StragglerSetup setup{ servers, percent / 100.0, 0.5, policy.policy, report.seed() };
    ratios.push_back(compare(scenario, setup, report.runs()));
    addQuantiles(report, where, policy.name, ratios.back().disturbed);
  }
  for (const std::size_t own : { 2U, 3U }) {
    const std::string name = "straggler_p99_ratio" + std::string(own == 3 ? "_hedged" : "");
    // Hedging is measured as an addition; the bound is the picker's.
    const std::optional<double> bound = own == 2 ? std::optional(kMaxRatio) : std::nullopt;
    for (const std::size_t other : { 0U, 1U }) {
      report.add({ name,
                   where,
                   ratios[own].p99Ratio,
                   "ratio",
                   bound,
                   std::string(kPolicies[other].name),
                   ratios[other].p99Ratio });
    }
  }
}

} // namespace

void measureStragglers(QualityReport& report, const Scenario& scenario)
{
  for (const int servers : scenario.serversPerService) {
    for (const int percent : { 10, 20 }) {
      measureOne(report, scenario, servers, percent);
    }
  }
}

} // namespace sycamore::quality
