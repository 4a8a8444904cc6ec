#pragma once

#include "PeerAddressTable.h"

#include <telemetry/BurnReport.h>
#include <telemetry/ServiceLevelRegistry.h>
#include <transport/HttpClientPool.h>

namespace sycamore::daemon {

// Merges the service-level counts of this VM with those of all other VMs. Thread-safe.
class TelemetryCollector
{
public:
  TelemetryCollector(base::VmId self,
                     const telemetry::ServiceLevelRegistry& serviceLevels,
                     const PeerAddressTable& peerAddresses,
                     transport::HttpClientPool& clients);

  // Fetches the snapshots of all known VMs, several at a time, on threads of its own. VMs that did
  // not answer by the deadline are listed as missing. Blocks until the deadline at most, so it must
  // not be called on the control thread.
  telemetry::BurnReport collect(base::TimePoint deadline) const;

private:
  const base::VmId self_;
  const telemetry::ServiceLevelRegistry& serviceLevels_;
  const PeerAddressTable& peerAddresses_;
  transport::HttpClientPool& clients_;
};

} // namespace sycamore::daemon
