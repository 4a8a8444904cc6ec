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

// Route to one backend server.
struct ServerRoute
{
  base::ServerId id;
  base::ServiceId service;
  // "ip:port" of the server.
  std::string address;
  base::DomainId domain;
  // The entry VM that holds the server lease; empty while none is known.
  base::VmId holder;
  // Peer address of the holder; empty if the holder is this VM or unknown.
  std::string holderAddress;
  base::Term term;
  // Whether the server lease is evicted: successors serve its shards.
  bool evicted = false;
  // Whether the server may receive new requests. Not set for a server that leaves its service, is
  // draining or is in a failure domain that is out of service; if the service is sharded by key, it
  // stays set for a grace period while the server's shards move. In a service that is not sharded
  // by key, it is also not set while the server answers no grants.
  bool available = true;

  bool hasHolder() const { return !holder.value().empty(); }
};

// Shard map and servers of one service.
struct ServiceRoute
{
  std::shared_ptr<const placement::ShardMap> map;
  std::map<base::ServerId, ServerRoute> servers;
};

// The server, and the shard if any, that a request is routed to.
struct RouteTarget
{
  const ServerRoute* server = nullptr;
  std::optional<base::ShardId> shard;
};

// Configuration and routes that traffic threads need. Immutable once published.
class RoutingTable
{
public:
  RoutingTable() = default;
  RoutingTable(std::shared_ptr<const configuration::ConfigSnapshot> config,
               std::map<base::ServiceId, ServiceRoute> services);

  const configuration::ConfigSnapshot& config() const { return *config_; }

  // Both return null for an unknown service.
  const configuration::ServiceConfig* findConfig(const base::ServiceId& service) const;
  const ServiceRoute* findService(const base::ServiceId& service) const;

  // Returns the server that currently serves a key: the shard's owner, or its successor while the
  // owner is evicted. Returns nothing if the service has no map or the server is unknown.
  std::optional<RouteTarget> routeKey(const base::ServiceId& service, const base::Key& key) const;

  // Returns the servers that may run any request of a service that is not sharded by key.
  std::vector<const ServerRoute*> candidates(const base::ServiceId& service) const;

private:
  std::shared_ptr<const configuration::ConfigSnapshot> config_ =
    std::make_shared<const configuration::ConfigSnapshot>();
  std::map<base::ServiceId, ServiceRoute> services_;
};

} // namespace sycamore::router
