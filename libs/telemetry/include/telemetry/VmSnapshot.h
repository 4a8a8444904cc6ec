#pragma once

#include <base/Ids.h>
#include <telemetry/ServiceLevelSnapshot.h>

#include <map>
#include <string>

namespace sycamore::telemetry {

// Snapshot of all services as observed by one VM, in the form that is sent to other VMs.
struct VmSnapshot
{
  base::VmId vm;
  std::map<base::ServiceId, ServiceLevelSnapshot> services;

  std::string toText() const;
  // Parses the text that toText() returns. Throws TelemetryError if it is malformed.
  static VmSnapshot parse(const std::string& text);
};

} // namespace sycamore::telemetry
