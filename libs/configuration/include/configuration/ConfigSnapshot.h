#pragma once

#include <base/Ids.h>
#include <configuration/ConfigFault.h>
#include <configuration/ConfigObject.h>
#include <configuration/DomainConfig.h>
#include <configuration/ServiceConfig.h>

#include <map>
#include <set>

namespace sycamore::configuration {

// A stored object with an invalid document, for example one that was not written by this system.
// The last usable version stays in effect; versionInUse is 0 if there is none.
struct UnusableObject
{
  base::Version version;
  base::Version versionInUse;
  ConfigFaults faults;
};

// The configuration in effect at one point in time. Immutable once published, hence thread-safe.
struct ConfigSnapshot
{
  std::map<base::ServiceId, ServiceConfig> services;
  std::map<base::DomainId, DomainConfig> domains;
  std::map<ObjectName, UnusableObject> unusable;

  bool domainInService(const base::DomainId& domain) const
  {
    const auto found = domains.find(domain);
    return found == domains.end() || found->second.inService;
  }
};

} // namespace sycamore::configuration
