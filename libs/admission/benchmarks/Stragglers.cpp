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

// Target for the p99 latency while servers are slowed, relative to the p99 without slow servers.
constexpr double kMaxP99Ratio = 1.3;

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

struct PolicyResult
{
  Quantiles withStragglers;
  double p99Ratio = 0;
};

PolicyResult compare(const Scenario& scenario, StragglerSetup setup, int runs)
{
  const Quantiles withStragglers = medianQuantiles(scenario, setup, runs);
  setup.slowShare = 0;
  const Quantiles withoutStragglers = medianQuantiles(scenario, setup, runs);
  return { withStragglers, withStragglers.p99 / withoutStragglers.p99 };
}

void addQuantiles(QualityReport& report,
                  const std::string& where,
                  std::string_view policy,
                  const Quantiles& quantiles)
{
  const std::string name = "straggler_" + std::string(policy);
  report.add({ name + "_p50", where, quantiles.p50, "ms", {}, "", {} });
  report.add({ name + "_p99", where, quantiles.p99, "ms", {}, "", {} });
  report.add({ name + "_p999", where, quantiles.p999, "ms", {}, "", {} });
}

void measureOne(QualityReport& report, const Scenario& scenario, int servers, int percent)
{
  const std::string where =
    scenario.name + "/" + std::to_string(servers) + "/slow" + std::to_string(percent);
  std::vector<PolicyResult> results;
  for (const PolicyName& policy : kPolicies) {
    const StragglerSetup setup{ servers, percent / 100.0, 0.5, policy.policy, report.seed() };
    results.push_back(compare(scenario, setup, report.runs()));
    addQuantiles(report, where, policy.name, results.back().withStragglers);
  }
  for (const std::size_t measured : { 2U, 3U }) {
    const std::string name = "straggler_p99_ratio" + std::string(measured == 3 ? "_hedged" : "");
    // The bound applies to the picker alone; hedging is measured in addition.
    const std::optional<double> bound = measured == 2 ? std::optional(kMaxP99Ratio) : std::nullopt;
    for (const std::size_t baseline : { 0U, 1U }) {
      report.add({ name,
                   where,
                   results[measured].p99Ratio,
                   "ratio",
                   bound,
                   std::string(kPolicies[baseline].name),
                   results[baseline].p99Ratio });
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
