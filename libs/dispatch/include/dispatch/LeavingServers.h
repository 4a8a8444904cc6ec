#pragma once

#include <base/Ids.h>
#include <dispatch/BackendServer.h>

#include <cstdint>
#include <map>
#include <vector>

namespace sycamore::dispatch {

// One life of a backend server, see BackendServer::born.
struct ServerIncarnation
{
  base::ServerId id;
  std::int64_t born = 0;

  bool operator==(const ServerIncarnation&) const = default;
};

// The servers that have said in an answer that they leave. Such a life of a server never gets
// requests again, whatever its entry in the store says; a later life does.
class LeavingServers
{
public:
  // Returns whether this is news.
  bool add(const ServerIncarnation& incarnation);

  bool contains(const ServerIncarnation& incarnation) const;

  // Marks the leaving ones of the registered servers as draining.
  void apply(std::map<base::ServerId, BackendServer>& servers);

  // Returns the leaving servers that were registered at the last apply(), for the other entry VMs.
  const std::vector<ServerIncarnation>& registered() const { return registered_; }

private:
  // The latest life of each server that has said that it leaves.
  std::map<base::ServerId, std::int64_t> leaving_;
  std::vector<ServerIncarnation> registered_;
};

} // namespace sycamore::dispatch
