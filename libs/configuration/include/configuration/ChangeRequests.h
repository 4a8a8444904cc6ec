#pragma once

#include <configuration/ChangeCoordinator.h>
#include <configuration/DomainConfig.h>

#include <set>
#include <string>
#include <variant>

namespace sycamore::configuration {

// Common parts of an operator's request.
struct ChangeParameters
{
  // The version that the operator saw.
  base::Version baseVersion;
  std::string writer;
  bool dryRun = false;
  base::TimePoint deadline;
};

// A change that may be run, or the outcome that refuses it.
using CheckedChange = std::variant<ConfigChange, ChangeOutcome>;

// Turn operators' requests into checked changes. Known failure domains are those of the snapshot
// and of the platform's VM list. Stateless; safe from all threads.

// Ignores the base: the service must not exist.
CheckedChange createService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters);
CheckedChange updateService(const base::ServiceId& service,
                            const std::string& document,
                            const std::set<base::DomainId>& knownDomains,
                            ChangeParameters parameters);
CheckedChange deleteService(const base::ServiceId& service, ChangeParameters parameters);
// Base 0 for a domain whose state was never changed.
CheckedChange setDomainState(const DomainConfig& domain,
                             const std::set<base::DomainId>& knownDomains,
                             ChangeParameters parameters);

} // namespace sycamore::configuration
