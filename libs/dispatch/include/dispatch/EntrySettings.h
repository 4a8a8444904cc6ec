#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <cstdint>
#include <string>

namespace sycamore::dispatch {

// IPv4 address and port.
struct Endpoint
{
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

// What an entry VM knows of itself and of its deployment when it starts.
struct EntrySettings
{
  base::VmId vm;
  base::DomainId domain;
  std::string ip;
  // Where callers connect.
  Endpoint callers;
  // Where the platform asks whether the VM takes new connections.
  Endpoint readiness;
  // Port for messages between entry VMs, the same on all of them.
  std::uint16_t peerPort = 0;
  Endpoint store;
  // Port for metrics alone; 0 for none. The readiness address serves them too.
  std::uint16_t metricsPort = 0;
  // Processor cores that the process may use.
  double capacity = 1;

  // Time from SIGTERM to SIGKILL.
  base::Duration shutdownGracePeriod = std::chrono::seconds(6);
  // Longest lifetime that a grant may have.
  base::Duration maxGrantDuration = std::chrono::seconds(10);
  // Retries allowed per request over all entry VMs, in a sliding window, and those allowed besides.
  double retryRatio = 0.2;
  double retrySlack = 60;
  base::Duration retryWindow = std::chrono::seconds(10);
  // A cold server may get its rate times the overshoot and the slack in any second.
  double coldOvershoot = 1.5;
  double coldSlack = 5;

  bool operator==(const EntrySettings&) const = default;
};

} // namespace sycamore::dispatch
