#pragma once

#include <configuration/ServiceConfig.h>
#include <control/OwnershipController.h>

namespace sycamore::control {

// State of one backend server for which this VM is, or has been, a voter.
struct OwnershipController::Managed
{
  Managed(ownership::HolderId self,
          const ownership::LeaseTimings& timings,
          const ownership::ServerRow& row,
          base::TimePoint now)
    : lease(self, timings, row, now)
  {
  }

  base::ServerId server;
  base::ServiceId service;
  std::string address;
  base::DomainId domain;
  configuration::ServiceConfig config;
  ownership::ServerLease lease;
  // Set while this VM holds the server's lease with kind Active.
  std::shared_ptr<router::ServerDispatcher> dispatcher;
  unsigned grantsInFlight = 0;
  bool releaseInFlight = false;
  // Number of requests of previous holders that may still run at the server, and the latest time at
  // which they end. Empty until the server's first accepted grant in this term.
  std::optional<unsigned> previousHolderInFlight;
  base::TimePoint previousHolderUntil;
  // Incarnation of the server that answered last.
  std::optional<base::Incarnation> incarnation;
  // Time at which the server last accepted a grant.
  base::TimePoint lastAcceptedAt;
  // Shards of the grant that the server accepted last.
  ownership::ShardSet acceptedShards;
};

} // namespace sycamore::control
