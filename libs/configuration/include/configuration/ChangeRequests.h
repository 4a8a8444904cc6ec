#pragma once

#include <configuration/ChangeCoordinator.h>
#include <configuration/DomainConfig.h>

#include <set>
#include <string>
#include <variant>

namespace sycamore::configuration {

// Parameters that all change requests of operators have in common.
struct ChangeParameters
{
  // The version that the operator's change is based on.
  base::Version baseVersion;
  std::string writer;
  bool dryRun = false;
  base::TimePoint deadline;
};

// A validated change that may be run, or the outcome that refuses it.
using CheckedChange = std::variant<ConfigChange, ChangeOutcome>;

// The functions below validate operators' requests and convert them to changes. Known failure
// domains are those of the snapshot and of the platform's VM list. Stateless and thread-safe.

// Ignores the base version: the service must not exist.
CheckedChange createService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters);
CheckedChange updateService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters);
CheckedChange deleteService(const base::ServiceId& service, ChangeParameters parameters);
// The base version is 0 for a domain whose state has never been changed.
CheckedChange setDomainState(const DomainConfig& domain,
                             const std::set<base::DomainId>& knownDomains,
                             ChangeParameters parameters);

} // namespace sycamore::configuration
