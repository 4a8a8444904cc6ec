#include <configuration/ChangeRequests.h>
#include <configuration/ConfigDocument.h>
#include <configuration/ConfigValidator.h>

#include <utility>

namespace sycamore::configuration {

namespace {

ChangeOutcome refusal(ConfigFaults faults)
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Refused;
  outcome.message = "the request has faults; nothing was changed";
  outcome.faults = std::move(faults);
  return outcome;
}

ConfigChange toChange(ObjectName name, std::string document, ChangeParameters parameters)
{
  return { std::move(name),     parameters.baseVersion,
           std::move(document), std::move(parameters.writer),
           parameters.dryRun,   parameters.deadline };
}

ChangeOutcome missingBaseVersion()
{
  return refusal({ { "", "has no base version; read the object first" } });
}

template<typename Config>
CheckedChange toCheckedChange(Validated<Config> read,
                              ObjectName name,
                              const std::string& document,
                              ChangeParameters parameters)
{
  if (!read.config) {
    return refusal(std::move(read.faults));
  }
  return toChange(std::move(name), document, std::move(parameters));
}

} // namespace

CheckedChange createService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters)
{
  parameters.baseVersion = base::Version();
  auto read = ConfigValidator().checkServiceChange(service, document, knownDomains);
  return toCheckedChange(std::move(read), objectName(service), document, std::move(parameters));
}

CheckedChange updateService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters)
{
  if (parameters.baseVersion == base::Version()) {
    return missingBaseVersion();
  }
  auto read = ConfigValidator().checkServiceChange(service, document, knownDomains);
  return toCheckedChange(std::move(read), objectName(service), document, std::move(parameters));
}

CheckedChange deleteService(const base::ServiceId& service, ChangeParameters parameters)
{
  if (!isValidId(service.value())) {
    return refusal({ { "/service", "is not the id of a service" } });
  }
  if (parameters.baseVersion == base::Version()) {
    return missingBaseVersion();
  }
  return toChange(objectName(service), "", std::move(parameters));
}

CheckedChange setDomainState(const DomainConfig& domain,
                             const std::set<base::DomainId>& knownDomains,
                             ChangeParameters parameters)
{
  const std::string document = domainDocument(domain);
  auto read = ConfigValidator().checkDomainChange(domain.domain, document, knownDomains);
  return toCheckedChange(
    std::move(read), objectName(domain.domain), document, std::move(parameters));
}

} // namespace sycamore::configuration
