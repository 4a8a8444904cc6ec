#pragma once

#include <dispatch/BackendServer.h>
#include <dispatch/Configuration.h>
#include <dispatch/OwnershipRecord.h>

#include <cstddef>
#include <map>
#include <memory>
#include <set>

namespace sycamore::dispatch {

// Everything that traffic needs to know, published by the control thread as a whole. Null pointers
// stand for what hasn't been read yet.
struct RoutingView
{
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const std::map<base::ServerId, BackendServer>> servers;
  std::shared_ptr<const OwnershipRecord> ownership;
  // Failure domains that operators have taken out.
  std::set<base::DomainId> domainsOut;
  // Live entry VMs, this one included.
  std::size_t entryVms = 1;

  // Whether requests can be routed: what doesn't depend on the ownership of keys is known.
  bool isComplete() const { return configuration && servers; }
};

} // namespace sycamore::dispatch
