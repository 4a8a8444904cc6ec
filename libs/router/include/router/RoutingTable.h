#pragma once

#include <base/Ids.h>
#include <configuration/ConfigSnapshot.h>
#include <placement/ShardMap.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::router {

// How to reach one backend server.
struct ServerRoute
{
  base::ServerId id;
  base::ServiceId service;
  // "ip:port" of the server.
  std::string address;
  base::DomainId domain;
  // The entry VM that holds the tenancy; empty while none is known.
  base::VmId holder;
  // Peer address of the holder; empty when the holder is this VM or unknown.
  std::string holderAddress;
  base::Term term;
  // The tenancy is evicted: successors serve the shards.
  bool evicted = false;
  // May receive new work: not leaving, and its failure domain is in service.
  bool available = true;

  bool hasHolder() const { return !holder.value().empty(); }
};

// All routes of one service.
struct ServiceRoute
{
  std::shared_ptr<const placement::ShardMap> map;
  std::map<base::ServerId, ServerRoute> servers;
};

// Where a request goes.
struct RouteTarget
{
  const ServerRoute* server = nullptr;
  std::optional<base::ShardId> shard;
};

// What traffic threads need to route a request. Immutable once published.
class RoutingTable
{
public:
  RoutingTable() = default;
  RoutingTable(std::shared_ptr<const configuration::ConfigSnapshot> config,
               std::map<base::ServiceId, ServiceRoute> services);

  // The configuration in effect.
  const configuration::ConfigSnapshot& config() const { return *config_; }

  // Null for an unknown service.
  const configuration::ServiceConfig* findConfig(const base::ServiceId& service) const;
  const ServiceRoute* findService(const base::ServiceId& service) const;

  // The server that serves a key now: the shard's owner, or its successor while the owner is
  // evicted. Nothing when the service has no map or the server is unknown.
  std::optional<RouteTarget> routeKey(const base::ServiceId& service, const base::Key& key) const;

  // Servers that may take any request of a service that is not sharded by key.
  std::vector<const ServerRoute*> candidates(const base::ServiceId& service) const;

private:
  std::shared_ptr<const configuration::ConfigSnapshot> config_ =
    std::make_shared<const configuration::ConfigSnapshot>();
  std::map<base::ServiceId, ServiceRoute> services_;
};

} // namespace sycamore::router
