#include <telemetry/ServiceLevelSnapshot.h>

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

const json& arrayOf(const json& encoded, const char* name, std::size_t size)
{
  const json& array = encoded.at(name);
  if (!array.is_array() || array.size() != size) {
    throw TelemetryError(std::string(name) + " has a wrong number of values, expected " +
                         std::to_string(size));
  }
  return array;
}

json loadsToJson(const LoadTable& loads)
{
  json encoded = json::object();
  for (const auto& [server, minutes] : loads) {
    encoded[server.value()] = minutes;
  }
  return encoded;
}

LoadTable loadsFromJson(const json& encoded)
{
  LoadTable loads;
  for (const auto& [server, minutes] : encoded.items()) {
    arrayOf(encoded, server.c_str(), kLoadHistoryMinutes);
    loads[base::ServerId(server)] = minutes.get<std::vector<std::uint64_t>>();
  }
  return loads;
}

void mergeLoads(LoadTable& loads, const LoadTable& other)
{
  for (const auto& [server, minutes] : other) {
    auto& own = loads[server];
    own.resize(kLoadHistoryMinutes);
    std::transform(own.begin(), own.end(), minutes.begin(), own.begin(), std::plus<>());
  }
}

} // namespace

void ServiceLevelSnapshot::merge(const ServiceLevelSnapshot& other)
{
  goodRatio = std::max(goodRatio, other.goodRatio);
  latencyObjective = std::min(latencyObjective, other.latencyObjective);
  observedDuration = std::max(observedDuration, other.observedDuration);
  period.merge(other.period);
  for (std::size_t i = 0; i < windows.size(); ++i) {
    windows.at(i).merge(other.windows.at(i));
  }
  for (std::size_t i = 0; i < kHistorySteps; ++i) {
    steps[i].merge(other.steps[i]);
    latencies[i] += other.latencies[i];
  }
  mergeLoads(loads, other.loads);
}

double ServiceLevelSnapshot::burnRate(const ServiceLevelCounts& counts) const
{
  return counts.badRatio() / (1 - goodRatio);
}

double ServiceLevelSnapshot::budgetLeft() const
{
  return 1 - burnRate(period);
}

bool ServiceLevelSnapshot::isFiring(const BurnRateAlert& alert) const
{
  return burnRate(windows.at(alert.shortWindow)) >= alert.threshold &&
         burnRate(windows.at(alert.longWindow)) >= alert.threshold;
}

json ServiceLevelSnapshot::toJson() const
{
  const auto counts = [](const ServiceLevelCounts& value) { return value.toJson(); };
  return { { "good_ratio", goodRatio },
           { "latency_ns", latencyObjective.count() },
           { "observed_ns", observedDuration.count() },
           { "period", period.toJson() },
           { "windows", toArray(windows, counts) },
           { "steps", toArray(steps, counts) },
           { "latencies", toArray(latencies, [](const auto& value) { return value.toJson(); }) },
           { "loads", loadsToJson(loads) } };
}

ServiceLevelSnapshot ServiceLevelSnapshot::fromJson(const json& encoded)
{
  ServiceLevelSnapshot result;
  result.goodRatio = encoded.at("good_ratio").get<double>();
  if (!(result.goodRatio > 0 && result.goodRatio < 1)) {
    throw TelemetryError("good_ratio must be greater than 0 and less than 1");
  }
  result.latencyObjective = base::Duration(encoded.at("latency_ns").get<std::int64_t>());
  result.observedDuration = base::Duration(encoded.at("observed_ns").get<std::int64_t>());
  result.period = ServiceLevelCounts::fromJson(encoded.at("period"));
  const json& windowArray = arrayOf(encoded, "windows", kBurnRateWindows.size());
  std::transform(
    windowArray.begin(), windowArray.end(), result.windows.begin(), ServiceLevelCounts::fromJson);
  const json& stepArray = arrayOf(encoded, "steps", kHistorySteps);
  std::transform(
    stepArray.begin(), stepArray.end(), result.steps.begin(), ServiceLevelCounts::fromJson);
  const json& latencyArray = arrayOf(encoded, "latencies", kHistorySteps);
  std::transform(
    latencyArray.begin(), latencyArray.end(), result.latencies.begin(), LatencyCounts::fromJson);
  result.loads = loadsFromJson(encoded.at("loads"));
  return result;
}

} // namespace sycamore::telemetry
