#pragma once

#include <base/Ids.h>
#include <configuration/ConfigFault.h>
#include <configuration/ConfigObject.h>
#include <configuration/DomainConfig.h>
#include <configuration/ServiceConfig.h>

#include <map>
#include <set>

namespace sycamore::configuration {

// A stored object that can't be used, for example one written past this system. The last usable
// version stays in effect (version 0: there is none).
struct UnusableObject
{
  base::Version version;
  base::Version versionInUse;
  ConfigFaults faults;
};

// All configuration in effect at one moment. Immutable once published; safe from all threads.
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
