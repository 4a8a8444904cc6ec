#include "ReportText.h"

#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

namespace {

using nlohmann::json;

json windowJson(const ServiceForm& form, const BurnCounts& counts)
{
  json causes = json::object();
  for (const BurnCause cause : kAllBurnCauses) {
    causes[std::string(burnCauseWord(cause))] = counts.bad.at(static_cast<std::size_t>(cause));
  }
  return { { "requests", counts.total() },
           { "good", counts.good },
           { "bad", causes },
           { "burn_rate", form.burnRate(counts) },
           { "moves", counts.moves },
           { "unavailable_seconds", static_cast<double>(counts.unavailableMs) / 1000 } };
}

json serviceJson(const ServiceForm& form)
{
  json windows = json::object();
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    windows[std::string(kBurnWindows.at(i).name)] = windowJson(form, form.windows.at(i));
  }
  json alerts = json::object();
  for (const BurnAlert& alert : kBurnAlerts) {
    alerts[std::string(alert.name)] = form.isFiring(alert);
  }
  const auto load = imbalance(form.loads, 0);
  return {
    { "objective",
      { { "good_ratio", form.goodRatio },
        { "latency_seconds", std::chrono::duration<double>(form.latencyObjective).count() } } },
    { "observed_seconds", std::chrono::duration<double>(form.observed).count() },
    { "budget_left", form.budgetLeft() },
    { "period", windowJson(form, form.period) },
    { "windows", windows },
    { "alerts", alerts },
    { "imbalance", load ? json(*load) : json() }
  };
}

json names(const std::set<base::VmId>& vms)
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
  for (const auto& [service, form] : services_) {
    services[service.value()] = serviceJson(form);
  }
  return nlohmann::json{
    { "vms", names(vms_) }, { "missing", names(missing_) }, { "services", services }
  }.dump(2);
}

} // namespace sycamore::telemetry
