#include <telemetry/BurnForm.h>

#include <telemetry/TelemetryError.h>

#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

std::string BurnForm::toText() const
{
  nlohmann::json forms = nlohmann::json::object();
  for (const auto& [service, form] : services) {
    forms[service.value()] = form.toJson();
  }
  return nlohmann::json{ { "vm", vm.value() }, { "services", forms } }.dump();
}

BurnForm BurnForm::parse(const std::string& text)
{
  try {
    const auto json = nlohmann::json::parse(text);
    BurnForm form;
    form.vm = base::VmId(json.at("vm").get<std::string>());
    for (const auto& [service, value] : json.at("services").items()) {
      form.services[base::ServiceId(service)] = ServiceForm::fromJson(value);
    }
    return form;
  } catch (const nlohmann::json::exception& error) {
    throw TelemetryError(std::string("malformed burn form: ") + error.what());
  }
}

} // namespace sycamore::telemetry
