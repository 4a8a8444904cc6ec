#pragma once

#include <telemetry/BurnRateWindows.h>
#include <telemetry/LatencyCounts.h>
#include <telemetry/ServerLoads.h>
#include <telemetry/ServiceLevelCounts.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <vector>

namespace sycamore::telemetry {

// What a VM, or several merged ones, observed of a service. All times are ages, since machines
// share no clock; steps of VMs that are merged differ by at most the width of their buckets and the
// time that the forms took to arrive.
struct ServiceLevelSnapshot
{
  double goodRatio = 0.999;
  base::Duration latencyObjective{};
  // For how long the service was observed, at most 30 days.
  base::Duration observedDuration{};
  ServiceLevelCounts period;
  std::array<ServiceLevelCounts, kBurnRateWindows.size()> windows;
  // Five-minute steps, newest first.
  std::vector<ServiceLevelCounts> steps = std::vector<ServiceLevelCounts>(kHistorySteps);
  std::vector<LatencyCounts> latencies = std::vector<LatencyCounts>(kHistorySteps);
  LoadTable loads;

  // Adds what another VM observed. Where objectives differ, because one VM has an older
  // configuration, the stricter one counts.
  void merge(const ServiceLevelSnapshot& other);

  // 1 uses the budget up exactly at the end of the period.
  double burnRate(const ServiceLevelCounts& counts) const;
  // Share of the budget that the answers observed so far have left, below 0 when it is overspent;
  // 1 without answers.
  double budgetLeft() const;
  bool isFiring(const BurnRateAlert& alert) const;
  // Moves in the last hour.
  std::uint64_t movedShardsLastHour() const { return windows[2].movedShards; }

  nlohmann::json toJson() const;
  // Throws TelemetryError for a malformed form.
  static ServiceLevelSnapshot fromJson(const nlohmann::json& value);
};

} // namespace sycamore::telemetry
