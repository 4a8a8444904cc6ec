#include "TelemetryRoutes.h"

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

// Shards of both maps that have another owner in the later one.
std::uint64_t movedShards(const ShardMap& earlier, const ShardMap& later)
{
  std::uint64_t moved = 0;
  later.forEachShard([&](base::ShardId shard, const auto&) {
    if (earlier.contains(shard) && earlier.owner(shard) != later.owner(shard)) {
      ++moved;
    }
  });
  return moved;
}

// Shards whose owner, or successor while the owner is evicted, is held by no entry VM.
std::uint64_t ownerlessShards(const ServiceRoute& route)
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

TelemetryRoutes::TelemetryRoutes(telemetry::ServiceLevelRegistry& book)
  : book_(book)
{
}

void TelemetryRoutes::observe(const router::RoutingTable& table, base::TimePoint now)
{
  std::map<base::ServiceId, telemetry::ServiceLevelObjective> objectives;
  for (const auto& [service, config] : table.config().services) {
    objectives[service] = { config.objective.goodRatio, config.objective.latency };
  }
  book_.setServices(objectives, now);
  std::erase_if(seen_, [&](const auto& entry) { return !objectives.contains(entry.first); });
  for (const auto& [service, objective] : objectives) {
    const ServiceRoute* route = table.findService(service);
    if (route != nullptr && route->map) {
      observeService(service, *route, now);
    }
  }
}

void TelemetryRoutes::observeService(const base::ServiceId& service,
                                     const ServiceRoute& route,
                                     base::TimePoint now)
{
  Seen& seen = seen_[service];
  const std::uint64_t moved =
    seen.map && seen.map != route.map ? movedShards(*seen.map, *route.map) : 0;
  seen.map = route.map;
  const std::uint64_t ownerless = ownerlessShards(route);
  seen.settled = seen.settled || ownerless == 0;
  const std::vector<base::ServerId> servers = serversOf(route);
  book_.update(service, [&](telemetry::ServiceLevelTracker& burn) {
    burn.recordMovedShards(moved, now);
    burn.recordOwnerlessShards(seen.settled ? ownerless : 0, now);
    burn.retainServers(servers, now);
  });
}

} // namespace sycamore::daemon
