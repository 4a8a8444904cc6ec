#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/Configuration.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RequestLimit.h>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sycamore::dispatch {

// Snapshot of all data that the traffic thread needs to route requests, published by the control
// thread. A pointer is null while its data hasn't been read yet.
struct RoutingView
{
  std::shared_ptr<const Configuration> configuration;
  // Time up to which the configuration is shown to hold all changes; unset if it never was. Kept
  // up to date only if the configuration has workspaces.
  base::TimePoint configurationCurrentAt{};
  std::shared_ptr<const std::map<base::ServerId, BackendServer>> servers;
  std::shared_ptr<const OwnershipRecord> ownership;
  // Failure domains that operators have taken out of service.
  std::set<base::DomainId> domainsOut;
  // Servers that name a limit in their answers.
  std::vector<LimitedServer> limitedServers;
  // Number of live entry VMs, including this one.
  std::size_t entryVms = 1;

  // Returns whether requests can be routed, for which everything but the ownership of keys has to
  // be known.
  bool isComplete() const { return configuration && servers; }
};

} // namespace sycamore::dispatch
