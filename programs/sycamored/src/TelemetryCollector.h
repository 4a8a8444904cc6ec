#pragma once

#include "TelemetryPeers.h"

#include <telemetry/BurnReport.h>
#include <telemetry/ServiceLevelRegistry.h>
#include <transport/HttpClientPool.h>

namespace sycamore::daemon {

// Merges the burn counts of this VM with those of all others. Safe from all threads.
class TelemetryCollector
{
public:
  TelemetryCollector(base::VmId self,
                     const telemetry::ServiceLevelRegistry& book,
                     const TelemetryPeers& peers,
                     transport::HttpClientPool& clients);

  // Asks all known VMs, several at a time, on threads of its own. VMs that did not answer by the
  // deadline are named as missing. Blocks up to the deadline; not for the control thread.
  telemetry::BurnReport collect(base::TimePoint deadline) const;

private:
  const base::VmId self_;
  const telemetry::ServiceLevelRegistry& book_;
  const TelemetryPeers& peers_;
  transport::HttpClientPool& clients_;
};

} // namespace sycamore::daemon
