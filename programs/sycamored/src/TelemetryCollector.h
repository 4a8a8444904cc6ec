#pragma once

#include "TelemetryPeers.h"

#include <telemetry/BurnBook.h>
#include <telemetry/BurnReport.h>
#include <transport/HttpClientPool.h>

namespace sycamore::daemon {

// Merges the burn counts of this VM with those of all others. Safe from all threads.
class TelemetryCollector
{
public:
  TelemetryCollector(base::VmId self,
                     const telemetry::BurnBook& book,
                     const TelemetryPeers& peers,
                     transport::HttpClientPool& clients);

  // Asks all known VMs, several at a time, on threads of its own. VMs that did not answer by the
  // deadline are named as missing. Blocks up to the deadline; not for the control thread.
  telemetry::BurnReport collect(base::TimePoint deadline) const;

private:
  const base::VmId self_;
  const telemetry::BurnBook& book_;
  const TelemetryPeers& peers_;
  transport::HttpClientPool& clients_;
};

} // namespace sycamore::daemon
