#include <telemetry/ServiceForm.h>

#include <telemetry/TelemetryError.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

namespace {

using nlohmann::json;

template<typename List, typename Item>
json toArray(const List& list, Item item)
{
  json array = json::array();
  for (const auto& value : list) {
    array.push_back(item(value));
  }
  return array;
}

const json& arrayOf(const json& form, const char* name, std::size_t size)
{
  const json& array = form.at(name);
  if (!array.is_array() || array.size() != size) {
    throw TelemetryError(std::string(name) + " has a wrong number of values");
  }
  return array;
}

json loadsToJson(const LoadTable& loads)
{
  json form = json::object();
  for (const auto& [server, minutes] : loads) {
    form[server.value()] = minutes;
  }
  return form;
}

LoadTable loadsFromJson(const json& form)
{
  LoadTable loads;
  for (const auto& [server, minutes] : form.items()) {
    arrayOf(form, server.c_str(), kLoadSteps);
    loads[base::ServerId(server)] = minutes.get<std::vector<std::uint64_t>>();
  }
  return loads;
}

void mergeLoads(LoadTable& loads, const LoadTable& other)
{
  for (const auto& [server, minutes] : other) {
    auto& own = loads[server];
    own.resize(kLoadSteps);
    std::transform(own.begin(), own.end(), minutes.begin(), own.begin(), std::plus<>());
  }
}

} // namespace

void ServiceForm::merge(const ServiceForm& other)
{
  goodRatio = std::max(goodRatio, other.goodRatio);
  latencyObjective = std::min(latencyObjective, other.latencyObjective);
  observed = std::max(observed, other.observed);
  period.merge(other.period);
  for (std::size_t i = 0; i < windows.size(); ++i) {
    windows.at(i).merge(other.windows.at(i));
  }
  for (std::size_t i = 0; i < kBurnSteps; ++i) {
    steps[i].merge(other.steps[i]);
    latencies[i] += other.latencies[i];
  }
  mergeLoads(loads, other.loads);
}

double ServiceForm::burnRate(const BurnCounts& counts) const
{
  return counts.badRatio() / (1 - goodRatio);
}

double ServiceForm::budgetLeft() const
{
  return 1 - burnRate(period);
}

bool ServiceForm::isFiring(const BurnAlert& alert) const
{
  return burnRate(windows.at(alert.shortWindow)) >= alert.threshold &&
         burnRate(windows.at(alert.longWindow)) >= alert.threshold;
}

json ServiceForm::toJson() const
{
  const auto counts = [](const BurnCounts& value) { return value.toJson(); };
  return { { "good_ratio", goodRatio },
           { "latency_ns", latencyObjective.count() },
           { "observed_ns", observed.count() },
           { "period", period.toJson() },
           { "windows", toArray(windows, counts) },
           { "steps", toArray(steps, counts) },
           { "latencies", toArray(latencies, [](const auto& value) { return value.toJson(); }) },
           { "loads", loadsToJson(loads) } };
}

ServiceForm ServiceForm::fromJson(const json& form)
{
  ServiceForm result;
  result.goodRatio = form.at("good_ratio").get<double>();
  if (!(result.goodRatio > 0 && result.goodRatio < 1)) {
    throw TelemetryError("good_ratio must lie between 0 and 1");
  }
  result.latencyObjective = base::Duration(form.at("latency_ns").get<std::int64_t>());
  result.observed = base::Duration(form.at("observed_ns").get<std::int64_t>());
  result.period = BurnCounts::fromJson(form.at("period"));
  const json& windowForms = arrayOf(form, "windows", kBurnWindows.size());
  std::transform(
    windowForms.begin(), windowForms.end(), result.windows.begin(), BurnCounts::fromJson);
  const json& stepForms = arrayOf(form, "steps", kBurnSteps);
  std::transform(stepForms.begin(), stepForms.end(), result.steps.begin(), BurnCounts::fromJson);
  const json& latencyForms = arrayOf(form, "latencies", kBurnSteps);
  std::transform(
    latencyForms.begin(), latencyForms.end(), result.latencies.begin(), LatencyCounts::fromJson);
  result.loads = loadsFromJson(form.at("loads"));
  return result;
}

} // namespace sycamore::telemetry
