#pragma once

#include <telemetry/BurnCounts.h>
#include <telemetry/BurnWindows.h>
#include <telemetry/LatencyCounts.h>
#include <telemetry/ServerLoads.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <vector>

namespace sycamore::telemetry {

// What a VM, or several merged ones, observed of a service. All times are ages, since machines
// share no clock; steps of VMs that are merged differ by at most the width of their buckets and the
// time that the forms took to arrive.
struct ServiceForm
{
  double goodRatio = 0.999;
  base::Duration latencyObjective{};
  // For how long the service was observed, at most 30 days.
  base::Duration observed{};
  BurnCounts period;
  std::array<BurnCounts, kBurnWindows.size()> windows;
  // Five-minute steps, newest first.
  std::vector<BurnCounts> steps = std::vector<BurnCounts>(kBurnSteps);
  std::vector<LatencyCounts> latencies = std::vector<LatencyCounts>(kBurnSteps);
  LoadTable loads;

  // Adds what another VM observed. Where objectives differ, because one VM has an older
  // configuration, the stricter one counts.
  void merge(const ServiceForm& other);

  // 1 uses the budget up exactly at the end of the period.
  double burnRate(const BurnCounts& counts) const;
  // Share of the budget that the answers observed so far have left, below 0 when it is overspent;
  // 1 without answers.
  double budgetLeft() const;
  bool isFiring(const BurnAlert& alert) const;
  // Moves in the last hour.
  std::uint64_t churn() const { return windows[2].moves; }

  nlohmann::json toJson() const;
  // Throws TelemetryError for a malformed form.
  static ServiceForm fromJson(const nlohmann::json& form);
};

} // namespace sycamore::telemetry
