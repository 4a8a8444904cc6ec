#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <dispatch/QuotaSettings.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::dispatch {

// IPv4 address and port.
struct Endpoint
{
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

// Settings of an entry VM and its deployment, as read at start.
struct EntrySettings
{
  base::VmId vm;
  base::DomainId domain;
  std::string ip;
  // Address for callers.
  Endpoint callers;
  // Address of the platform's readiness check, which asks whether the VM accepts new connections.
  Endpoint readiness;
  // Port for messages between entry VMs, the same on all of them.
  std::uint16_t peerPort = 0;
  Endpoint store;
  // Port that serves metrics only; 0 for none. The readiness address serves metrics too.
  std::uint16_t metricsPort = 0;
  // Processor cores that the process may use.
  double capacity = 1;
  // Memory that the process may use, in bytes.
  std::uint64_t memoryBytes = 256ULL * 1024 * 1024;

  // Time from SIGTERM to SIGKILL.
  base::Duration shutdownGracePeriod = std::chrono::seconds(6);
  // Maximum lifetime of a grant.
  base::Duration maxGrantDuration = std::chrono::seconds(10);
  // Retry budget over all entry VMs in a sliding window: retries per request, and additional
  // retries regardless of the number of requests.
  double retryRatio = 0.2;
  double retrySlack = 60;
  base::Duration retryWindow = std::chrono::seconds(10);
  // In any second a cold server may get its rate times `coldOvershoot`, plus `coldSlack` requests.
  double coldOvershoot = 1.5;
  double coldSlack = 5;
  QuotaSettings quota;
  // Maximum time from the change that removes a caller's key until no entry VM accepts it, even one
  // that hasn't received the change. Without a value, such a VM keeps accepting it.
  std::optional<base::Duration> keyWithdrawal;

  bool operator==(const EntrySettings&) const = default;
};

} // namespace sycamore::dispatch
