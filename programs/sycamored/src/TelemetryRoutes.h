#pragma once

#include <router/RoutingTable.h>
#include <telemetry/ServiceLevelRegistry.h>

#include <map>
#include <memory>

namespace sycamore::daemon {

// Notices in the routing table which shards moved and which have no owner, and tells the burn
// counts. Every VM sees the maps of all services. Not thread-safe.
class TelemetryRoutes
{
public:
  explicit TelemetryRoutes(telemetry::ServiceLevelRegistry& book);

  void observe(const router::RoutingTable& table, base::TimePoint now);

private:
  struct Seen
  {
    std::shared_ptr<const placement::ShardMap> map;
    // All shards had an owner once. Before that a VM that has just started doesn't know the
    // holders.
    bool settled = false;
  };

  void observeService(const base::ServiceId& service,
                      const router::ServiceRoute& route,
                      base::TimePoint now);

  telemetry::ServiceLevelRegistry& book_;
  std::map<base::ServiceId, Seen> seen_;
};

} // namespace sycamore::daemon
