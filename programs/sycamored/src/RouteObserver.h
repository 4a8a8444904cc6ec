#pragma once

#include <router/RoutingTable.h>
#include <telemetry/ServiceLevelRegistry.h>

#include <map>
#include <memory>

namespace sycamore::daemon {

// Detects in the routing table which shards moved and which have no owner, and records both in the
// service-level counts. Every VM has the maps of all services. Not thread-safe.
class RouteObserver
{
public:
  explicit RouteObserver(telemetry::ServiceLevelRegistry& serviceLevels);

  void observe(const router::RoutingTable& table, base::TimePoint now);

private:
  struct ObservedService
  {
    std::shared_ptr<const placement::ShardMap> map;
    // Whether all shards have had an owner at least once. Before that, missing owners are not
    // counted, since a VM that has just started does not know the holders yet.
    bool ownersKnown = false;
  };

  void observeService(const base::ServiceId& service,
                      const router::ServiceRoute& route,
                      base::TimePoint now);

  telemetry::ServiceLevelRegistry& serviceLevels_;
  std::map<base::ServiceId, ObservedService> observed_;
};

} // namespace sycamore::daemon
