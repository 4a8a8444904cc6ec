#include <control/LoadCodec.h>

#include <control/ControlError.h>

#include <cmath>
#include <nlohmann/json.hpp>

namespace sycamore::control {

using nlohmann::json;

namespace {

json toJson(const ServiceLoad& load)
{
  json rates = json::array();
  for (const auto& [shard, rate] : load.rates) {
    const double rounded = std::round(rate * 10) / 10;
    if (rounded > 0) {
      rates.push_back(json::array({ shard.value(), rounded }));
    }
  }
  return { { "service", load.service.value() },
           { "generation", load.generation.value() },
           { "rates", std::move(rates) },
           { "hot", placement::toJson(load.hotKeys) } };
}

ServiceLoad serviceLoadOf(const json& value)
{
  ServiceLoad load;
  load.service = base::ServiceId(value.at("service").get<std::string>());
  load.generation = base::Generation(value.at("generation").get<std::uint64_t>());
  for (const json& row : value.at("rates")) {
    const auto rate = row.at(1).get<double>();
    if (!std::isfinite(rate) || rate < 0) {
      throw ControlError("a request rate must be a finite number and at least 0");
    }
    load.rates[base::ShardId(row.at(0).get<std::uint32_t>())] = rate;
  }
  load.hotKeys = placement::hotKeySummaryFromJson(value.at("hot"));
  return load;
}

} // namespace

std::string encode(const LoadReport& report)
{
  json services = json::array();
  for (const ServiceLoad& load : report.services) {
    services.push_back(toJson(load));
  }
  return json{ { "from", report.from.value() }, { "services", std::move(services) } }.dump();
}

LoadReport decodeLoadReport(const std::string& text)
{
  try {
    const json value = json::parse(text);
    LoadReport report;
    report.from = base::VmId(value.at("from").get<std::string>());
    for (const json& load : value.at("services")) {
      report.services.push_back(serviceLoadOf(load));
    }
    return report;
  } catch (const std::exception& error) {
    throw ControlError(std::string("malformed load report from a peer: ") + error.what());
  }
}

} // namespace sycamore::control
