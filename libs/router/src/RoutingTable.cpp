#include <router/RoutingTable.h>

namespace sycamore::router {

RoutingTable::RoutingTable(std::shared_ptr<const configuration::ConfigSnapshot> config,
                           std::map<base::ServiceId, ServiceRoute> services)
  : config_(std::move(config))
  , services_(std::move(services))
{
}

const configuration::ServiceConfig* RoutingTable::findConfig(const base::ServiceId& service) const
{
  const auto found = config_->services.find(service);
  return found == config_->services.end() ? nullptr : &found->second;
}

const ServiceRoute* RoutingTable::findService(const base::ServiceId& service) const
{
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::optional<RouteTarget> RoutingTable::routeKey(const base::ServiceId& service,
                                                  const base::Key& key) const
{
  const ServiceRoute* route = findService(service);
  if (route == nullptr || !route->map || route->map->shardCount() == 0) {
    return std::nullopt;
  }
  const base::ShardId shard = route->map->shardOf(key);
  auto found = route->servers.find(route->map->owner(shard));
  if (found != route->servers.end() && found->second.evicted) {
    const base::ServerId* successor = route->map->successor(shard);
    found = successor == nullptr ? route->servers.end() : route->servers.find(*successor);
  }
  if (found == route->servers.end()) {
    return std::nullopt;
  }
  return RouteTarget{ &found->second, shard };
}

std::vector<const ServerRoute*> RoutingTable::candidates(const base::ServiceId& service) const
{
  std::vector<const ServerRoute*> usable;
  const ServiceRoute* route = findService(service);
  if (route == nullptr) {
    return usable;
  }
  for (const auto& [id, server] : route->servers) {
    if (server.available && !server.evicted && server.hasHolder()) {
      usable.push_back(&server);
    }
  }
  return usable;
}

} // namespace sycamore::router
