#include "RouteObserver.h"

namespace sycamore::daemon {

namespace {

using placement::ShardMap;
using router::ServerRoute;
using router::ServiceRoute;

const ServerRoute* findServer(const ServiceRoute& route, const base::ServerId* server)
{
  const auto found = server == nullptr ? route.servers.end() : route.servers.find(*server);
  return found == route.servers.end() ? nullptr : &found->second;
}

// Counts the shards in both maps whose owner differs between them.
std::uint64_t countMovedShards(const ShardMap& earlier, const ShardMap& later)
{
  std::uint64_t moved = 0;
  later.forEachShard([&](base::ShardId shard, const auto&) {
    if (earlier.contains(shard) && earlier.owner(shard) != later.owner(shard)) {
      ++moved;
    }
  });
  return moved;
}

// Counts the shards whose owner, or successor while the owner is evicted, has no lease holder.
std::uint64_t countOwnerlessShards(const ServiceRoute& route)
{
  std::uint64_t count = 0;
  route.map->forEachShard([&](base::ShardId shard, const auto&) {
    const ServerRoute* server = findServer(route, &route.map->owner(shard));
    if (server != nullptr && server->evicted) {
      server = findServer(route, route.map->successor(shard));
    }
    if (server == nullptr || !server->hasHolder()) {
      ++count;
    }
  });
  return count;
}

std::vector<base::ServerId> serversOf(const ServiceRoute& route)
{
  std::vector<base::ServerId> servers;
  for (const auto& [id, server] : route.servers) {
    servers.push_back(id);
  }
  return servers;
}

} // namespace

RouteObserver::RouteObserver(telemetry::ServiceLevelRegistry& serviceLevels)
  : serviceLevels_(serviceLevels)
{
}

void RouteObserver::observe(const router::RoutingTable& table, base::TimePoint now)
{
  std::map<base::ServiceId, telemetry::ServiceLevelObjective> objectives;
  for (const auto& [service, config] : table.config().services) {
    objectives[service] = { config.objective.goodRatio, config.objective.latency };
  }
  serviceLevels_.setServices(objectives, now);
  std::erase_if(observed_, [&](const auto& entry) { return !objectives.contains(entry.first); });
  for (const auto& [service, objective] : objectives) {
    const ServiceRoute* route = table.findService(service);
    if (route != nullptr && route->map) {
      observeService(service, *route, now);
    }
  }
}

void RouteObserver::observeService(const base::ServiceId& service,
                                   const ServiceRoute& route,
                                   base::TimePoint now)
{
  ObservedService& observed = observed_[service];
  const std::uint64_t moved =
    observed.map && observed.map != route.map ? countMovedShards(*observed.map, *route.map) : 0;
  observed.map = route.map;
  const std::uint64_t ownerless = countOwnerlessShards(route);
  observed.ownersKnown = observed.ownersKnown || ownerless == 0;
  const std::vector<base::ServerId> servers = serversOf(route);
  serviceLevels_.update(service, [&](telemetry::ServiceLevelTracker& tracker) {
    tracker.recordMovedShards(moved, now);
    tracker.recordOwnerlessShards(observed.ownersKnown ? ownerless : 0, now);
    tracker.retainServers(servers, now);
  });
}

} // namespace sycamore::daemon
