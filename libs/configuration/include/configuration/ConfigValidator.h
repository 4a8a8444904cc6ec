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

// A document that is either wholly usable or refused with all of its faults.
template<typename Config>
struct Validated
{
  std::optional<Config> config;
  ConfigFaults faults;
};

// Reads and checks configuration documents (JSON, layout of docs/design.md section 5). Refuses a
// document whole: unknown fields, wrong types, values out of range, contradictions. Stateless;
// safe from all threads.
class ConfigValidator
{
public:
  // Largest document in bytes. Documents spread between entry VMs, so they stay far below the
  // platform's limit of 1 MB.
  static constexpr std::size_t kMaxDocumentBytes = 64 * 1024;

  // Checks a document by itself. Used on adoption: an object that names a failure domain which is
  // unknown here must not be refused there, or VMs would differ.
  Validated<ServiceConfig> readService(const std::string& text) const;
  Validated<DomainConfig> readDomain(const std::string& text) const;

  // Check a change that an operator proposes: as above, the id must be the expected one, and the
  // failure domains must be among the known ones.
  Validated<ServiceConfig> checkServiceChange(const base::ServiceId& expected,
                                              const std::string& text,
                                              const std::set<base::DomainId>& knownDomains) const;
  Validated<DomainConfig> checkDomainChange(const base::DomainId& expected,
                                            const std::string& text,
                                            const std::set<base::DomainId>& knownDomains) const;

  // Checks that one usable document of an object may follow another. Nothing is checked if either
  // isn't usable.
  ConfigFaults checkTransition(const ObjectName& name,
                               const std::string& current,
                               const std::string& next) const;
};

} // namespace sycamore::configuration
