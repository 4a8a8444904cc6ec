#include <telemetry/VmSnapshot.h>

#include <telemetry/TelemetryError.h>

#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

std::string VmSnapshot::toText() const
{
  nlohmann::json serviceObjects = nlohmann::json::object();
  for (const auto& [service, snapshot] : services) {
    serviceObjects[service.value()] = snapshot.toJson();
  }
  return nlohmann::json{ { "vm", vm.value() }, { "services", serviceObjects } }.dump();
}

VmSnapshot VmSnapshot::parse(const std::string& text)
{
  try {
    const auto json = nlohmann::json::parse(text);
    VmSnapshot snapshot;
    snapshot.vm = base::VmId(json.at("vm").get<std::string>());
    for (const auto& [service, value] : json.at("services").items()) {
      snapshot.services[base::ServiceId(service)] = ServiceLevelSnapshot::fromJson(value);
    }
    return snapshot;
  } catch (const nlohmann::json::exception& error) {
    throw TelemetryError(std::string("malformed telemetry snapshot: ") + error.what());
  }
}

} // namespace sycamore::telemetry
