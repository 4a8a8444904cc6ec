#pragma once

#include <telemetry/BurnRateWindows.h>
#include <telemetry/LatencyCounts.h>
#include <telemetry/ServerLoads.h>
#include <telemetry/ServiceLevelCounts.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <vector>

namespace sycamore::telemetry {

// Service-level data of one service as observed by one VM, or merged over several VMs. All times
// are ages, because machines do not share a clock. Steps of merged VMs are offset by at most the
// bucket width plus the time that the snapshots took to arrive.
struct ServiceLevelSnapshot
{
  double goodRatio = 0.999;
  base::Duration latencyObjective{};
  // Time for which the service has been observed, at most kErrorBudgetPeriod.
  base::Duration observedDuration{};
  // Counts of the error-budget period.
  ServiceLevelCounts period;
  std::array<ServiceLevelCounts, kBurnRateWindows.size()> windows;
  // Five-minute steps, newest first.
  std::vector<ServiceLevelCounts> steps = std::vector<ServiceLevelCounts>(kHistorySteps);
  std::vector<LatencyCounts> latencies = std::vector<LatencyCounts>(kHistorySteps);
  LoadTable loads;

  // Merges the snapshot of another VM. If the objectives differ because one VM still has an older
  // configuration, the stricter one is kept.
  void merge(const ServiceLevelSnapshot& other);

  // Returns the burn rate; a rate of 1 uses up the error budget exactly at the end of the period.
  double burnRate(const ServiceLevelCounts& counts) const;
  // Returns the share of the error budget that remains after the answers observed so far: 1 without
  // answers, below 0 when the budget is overspent.
  double budgetLeft() const;
  bool isFiring(const BurnRateAlert& alert) const;
  std::uint64_t movedShardsLastHour() const { return windows[2].movedShards; }

  nlohmann::json toJson() const;
  // Throws TelemetryError or nlohmann::json::exception if the object is malformed.
  static ServiceLevelSnapshot fromJson(const nlohmann::json& encoded);
};

} // namespace sycamore::telemetry
