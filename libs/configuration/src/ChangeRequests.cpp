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

ConfigChange changeOf(ObjectName name, std::string document, ChangeBasis basis)
{
  return { std::move(name),         basis.base,   std::move(document),
           std::move(basis.writer), basis.dryRun, basis.deadline };
}

ChangeOutcome withoutBase()
{
  return refusal({ { "", "names no base version; get the object first" } });
}

template<typename Config>
CheckedChange checked(Validated<Config> read,
                      ObjectName name,
                      const std::string& document,
                      ChangeBasis basis)
{
  if (!read.config) {
    return refusal(std::move(read.faults));
  }
  return changeOf(std::move(name), document, std::move(basis));
}

} // namespace

CheckedChange createService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeBasis basis)
{
  basis.base = base::Version();
  auto read = ConfigValidator().checkServiceChange(service, document, knownDomains);
  return checked(std::move(read), objectName(service), document, std::move(basis));
}

CheckedChange updateService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeBasis basis)
{
  if (basis.base == base::Version()) {
    return withoutBase();
  }
  auto read = ConfigValidator().checkServiceChange(service, document, knownDomains);
  return checked(std::move(read), objectName(service), document, std::move(basis));
}

CheckedChange deleteService(const base::ServiceId& service, ChangeBasis basis)
{
  if (!isValidId(service.value())) {
    return refusal({ { "/service", "is not the id of a service" } });
  }
  if (basis.base == base::Version()) {
    return withoutBase();
  }
  return changeOf(objectName(service), "", std::move(basis));
}

CheckedChange setDomainState(const DomainConfig& domain,
                             const std::set<base::DomainId>& knownDomains,
                             ChangeBasis basis)
{
  const std::string document = domainDocument(domain);
  auto read = ConfigValidator().checkDomainChange(domain.domain, document, knownDomains);
  return checked(std::move(read), objectName(domain.domain), document, std::move(basis));
}

} // namespace sycamore::configuration
