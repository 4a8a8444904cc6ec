#pragma once

#include <base/Ids.h>
#include <configuration/ConfigFault.h>
#include <configuration/DomainConfig.h>
#include <configuration/ObjectName.h>
#include <configuration/ServiceConfig.h>

#include <optional>
#include <set>
#include <string>

namespace sycamore::configuration {

// Result of validating a document: the configuration, or all faults of a refused document.
template<typename Config>
struct Validated
{
  std::optional<Config> config;
  ConfigFaults faults;
};

// Parses and validates configuration documents (JSON, layout in docs/design.md section 5). Refuses
// the entire document because of unknown fields, wrong types, values out of range or
// contradictions. Stateless and thread-safe.
class ConfigValidator
{
public:
  // Maximum size of a document in bytes. Entry VMs send documents to each other, so the limit is
  // far below the platform's limit of 1 MB.
  static constexpr std::size_t kMaxDocumentBytes = 64 * 1024;

  // Validate a document by itself. Used on adoption, where a document with a failure domain that is
  // unknown to this VM must not be refused; otherwise VMs would have different configurations.
  Validated<ServiceConfig> readService(const std::string& text) const;
  Validated<DomainConfig> readDomain(const std::string& text) const;

  // Validate a change that an operator requests: as above, and the id must be the expected one and
  // the failure domains must be known.
  Validated<ServiceConfig> checkServiceChange(const base::ServiceId& expected,
                                              const std::string& text,
                                              const std::set<base::DomainId>& knownDomains) const;
  Validated<DomainConfig> checkDomainChange(const base::DomainId& expected,
                                            const std::string& text,
                                            const std::set<base::DomainId>& knownDomains) const;

  // Checks that a valid document of an object may replace another one. Returns no faults if either
  // document is invalid.
  ConfigFaults checkTransition(const ObjectName& name,
                               const std::string& current,
                               const std::string& next) const;
};

} // namespace sycamore::configuration
