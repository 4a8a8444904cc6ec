#include "ReportText.h"

#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

namespace {

using nlohmann::json;

json windowJson(const ServiceLevelSnapshot& snapshot, const ServiceLevelCounts& counts)
{
  json causes = json::object();
  for (const BadAnswerCause cause : kAllBadAnswerCauses) {
    causes[std::string(badAnswerCauseName(cause))] = counts.bad.at(static_cast<std::size_t>(cause));
  }
  return { { "requests", counts.total() },
           { "good", counts.good },
           { "bad", causes },
           { "burn_rate", snapshot.burnRate(counts) },
           { "moves", counts.movedShards },
           { "unavailable_seconds", static_cast<double>(counts.unavailableMs) / 1000 } };
}

json serviceJson(const ServiceLevelSnapshot& snapshot)
{
  json windows = json::object();
  for (std::size_t i = 0; i < kBurnRateWindows.size(); ++i) {
    windows[std::string(kBurnRateWindows.at(i).name)] =
      windowJson(snapshot, snapshot.windows.at(i));
  }
  json alerts = json::object();
  for (const BurnRateAlert& alert : kBurnRateAlerts) {
    alerts[std::string(alert.name)] = snapshot.isFiring(alert);
  }
  const auto load = imbalance(snapshot.loads, 0);
  return {
    { "objective",
      { { "good_ratio", snapshot.goodRatio },
        { "latency_seconds", std::chrono::duration<double>(snapshot.latencyObjective).count() } } },
    { "observed_seconds", std::chrono::duration<double>(snapshot.observedDuration).count() },
    { "budget_left", snapshot.budgetLeft() },
    { "period", windowJson(snapshot, snapshot.period) },
    { "windows", windows },
    { "alerts", alerts },
    { "imbalance", load ? json(*load) : json() }
  };
}

json vmNames(const std::set<base::VmId>& vms)
{
  json list = json::array();
  for (const base::VmId& vm : vms) {
    list.push_back(vm.value());
  }
  return list;
}

} // namespace

std::string BurnReport::json() const
{
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service, snapshot] : services_) {
    services[service.value()] = serviceJson(snapshot);
  }
  return nlohmann::json{
    { "vms", vmNames(vms_) }, { "missing", vmNames(missingVms_) }, { "services", services }
  }.dump(2);
}

} // namespace sycamore::telemetry
