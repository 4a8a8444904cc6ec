#pragma once

#include <base/Ids.h>
#include <telemetry/ServiceLevelSnapshot.h>

#include <map>
#include <string>

namespace sycamore::telemetry {

// What one VM observed of all services, as it is sent to others.
struct VmSnapshot
{
  base::VmId vm;
  std::map<base::ServiceId, ServiceLevelSnapshot> services;

  std::string toText() const;
  // Throws TelemetryError for a malformed text.
  static VmSnapshot parse(const std::string& text);
};

} // namespace sycamore::telemetry
