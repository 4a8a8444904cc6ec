#pragma once

#include <configuration/ServiceConfig.h>
#include <control/OwnershipController.h>

namespace sycamore::control {

// One backend server that this VM is a voter of.
struct OwnershipController::Managed
{
  Managed(ownership::HolderId self,
          const ownership::LeaseTimings& timings,
          const ownership::ServerRow& row,
          base::TimePoint now)
    : tenancy(self, timings, row, now)
  {
  }

  base::ServerId server;
  base::ServiceId service;
  std::string address;
  base::DomainId domain;
  configuration::ServiceConfig config;
  ownership::ServerLease tenancy;
  // Set while this VM holds the tenancy.
  std::shared_ptr<router::ServerDispatcher> dispatcher;
  unsigned grantsInFlight = 0;
  bool releaseInFlight = false;
  // Requests of an earlier holder that may still run at the server, and until when at the latest.
  // Nothing until the server's first answer in this term.
  std::optional<unsigned> foreignInFlight;
  base::TimePoint foreignUntil;
  // Run of the server that answered last.
  std::optional<base::Incarnation> incarnation;
  // When the server accepted a grant last.
  base::TimePoint acceptedAt;
  // The shards of the grant that was accepted last.
  ownership::ShardSet accepted;
};

} // namespace sycamore::control
