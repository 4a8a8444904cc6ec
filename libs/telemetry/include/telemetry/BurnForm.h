#pragma once

#include <base/Ids.h>
#include <telemetry/ServiceForm.h>

#include <map>
#include <string>

namespace sycamore::telemetry {

// What one VM observed of all services, as it is sent to others.
struct BurnForm
{
  base::VmId vm;
  std::map<base::ServiceId, ServiceForm> services;

  std::string toText() const;
  // Throws TelemetryError for a malformed text.
  static BurnForm parse(const std::string& text);
};

} // namespace sycamore::telemetry
