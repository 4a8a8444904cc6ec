#pragma once

#include <cstdint>

namespace sycamore::configuration {

// Resource limits of a service, per backend server where not said otherwise.
struct ServiceLimits
{
  // Requests that wait for a slot; more are refused as overloaded.
  std::uint32_t queueLength = 64;
  // Connections that entry VMs open to a server.
  std::uint32_t connections = 120;
  // Bytes of a request body, 8 MiB by default.
  std::uint64_t bodyBytes = 8ULL << 20;

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

} // namespace sycamore::configuration
