#include "FieldReader.h"
#include "ServiceReader.h"

#include <configuration/ConfigValidator.h>
#include <configuration/ObjectName.h>

#include <algorithm>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

template<typename Config>
Validated<Config> toValidated(Config config, ConfigFaults faults)
{
  if (!faults.empty()) {
    return { std::nullopt, std::move(faults) };
  }
  return { std::move(config), {} };
}

bool allZero(const ServiceWeights& weights)
{
  return weights == ServiceWeights{ 0, 0, 0, 0, 0 };
}

void checkObjective(const ServiceConfig& config, ConfigFaults& faults)
{
  const auto reachesObjective = [&](const auto& method) {
    return method.second.deadline >= config.objective.latency;
  };
  if (!config.methods.empty() &&
      std::none_of(config.methods.begin(), config.methods.end(), reachesObjective)) {
    faults.push_back({ "/objective/latency_ms", "is longer than the deadline of every method" });
  }
}

void checkConsistency(const ServiceConfig& config, ConfigFaults& faults)
{
  if (config.coldStart.limit > config.slotsPerServer) {
    faults.push_back({ "/cold_start/limit", "must not be above slots_per_server" });
  }
  if (config.votes == VoteMode::Move && config.domains.size() == 1) {
    faults.push_back({ "/votes", "\"move\" needs at least 2 failure domains" });
  }
  if (allZero(config.weights)) {
    faults.push_back({ "/weights", "must not all be 0" });
  }
  checkObjective(config, faults);
}

void checkKnownDomains(const ServiceConfig& config,
                       const std::set<base::DomainId>& known,
                       ConfigFaults& faults)
{
  for (std::size_t i = 0; i < config.domains.size(); ++i) {
    if (!known.contains(config.domains[i])) {
      faults.push_back({ "/domains/" + std::to_string(i),
                         "unknown failure domain \"" + config.domains[i].value() + "\"" });
    }
  }
}

// Refuses changes that would reassign every key while the previous owners still hold theirs.
void checkFixedFields(const ServiceConfig& current, const ServiceConfig& next, ConfigFaults& faults)
{
  if (current.shards != next.shards) {
    faults.push_back({ "/shards", "is fixed at " + std::to_string(current.shards) });
  }
  if (current.keyed != next.keyed) {
    faults.push_back(
      { "/keyed", std::string("is fixed at ") + (current.keyed ? "true" : "false") });
  }
}

DomainConfig readDomainFields(const json& document, ConfigFaults& faults)
{
  FieldReader fields(document, "", faults);
  std::string id;
  std::string state;
  DomainConfig config;
  if (fields.read("domain", id, true) && !isValidId(id)) {
    fields.fault("domain",
                 "must be 1 to 63 lower-case letters, digits or '-', with no '-' at either end");
  }
  if (fields.read("state", state, true) && state != "in" && state != "out") {
    fields.fault("state", "must be \"in\" or \"out\"");
  }
  if (fields.read("reason", config.reason) && config.reason.size() > 500) {
    fields.fault("reason", "must be at most 500 bytes");
  }
  fields.finish();
  config.domain = base::DomainId(std::move(id));
  config.inService = state != "out";
  return config;
}

} // namespace

Validated<ServiceConfig> ConfigValidator::readService(const std::string& text) const
{
  ConfigFaults faults;
  const auto document = parseDocument(text, faults);
  if (!document) {
    return { std::nullopt, std::move(faults) };
  }
  ServiceConfig config = ServiceReader(*document, faults).read();
  // Consistency is checked for valid values only; otherwise one wrong type would be reported twice.
  if (faults.empty()) {
    checkConsistency(config, faults);
  }
  return toValidated(std::move(config), std::move(faults));
}

Validated<DomainConfig> ConfigValidator::readDomain(const std::string& text) const
{
  ConfigFaults faults;
  const auto document = parseDocument(text, faults);
  if (!document) {
    return { std::nullopt, std::move(faults) };
  }
  DomainConfig config = readDomainFields(*document, faults);
  return toValidated(std::move(config), std::move(faults));
}

Validated<ServiceConfig> ConfigValidator::checkServiceChange(
  const base::ServiceId& expected,
  const std::string& text,
  const std::set<base::DomainId>& knownDomains) const
{
  Validated<ServiceConfig> read = readService(text);
  if (!read.config) {
    return read;
  }
  if (read.config->service != expected) {
    read.faults.push_back({ "/service", "must be \"" + expected.value() + "\"" });
  }
  checkKnownDomains(*read.config, knownDomains, read.faults);
  return toValidated(std::move(*read.config), std::move(read.faults));
}

Validated<DomainConfig> ConfigValidator::checkDomainChange(
  const base::DomainId& expected,
  const std::string& text,
  const std::set<base::DomainId>& knownDomains) const
{
  Validated<DomainConfig> read = readDomain(text);
  if (!read.config) {
    return read;
  }
  if (read.config->domain != expected) {
    read.faults.push_back({ "/domain", "must be \"" + expected.value() + "\"" });
  }
  if (!knownDomains.contains(read.config->domain)) {
    read.faults.push_back({ "/domain", "unknown failure domain" });
  }
  return toValidated(std::move(*read.config), std::move(read.faults));
}

ConfigFaults ConfigValidator::checkTransition(const ObjectName& name,
                                              const std::string& current,
                                              const std::string& next) const
{
  ConfigFaults faults;
  if (!serviceOf(name)) {
    return faults;
  }
  const auto before = readService(current);
  const auto after = readService(next);
  if (before.config && after.config) {
    checkFixedFields(*before.config, *after.config, faults);
  }
  return faults;
}

} // namespace sycamore::configuration
