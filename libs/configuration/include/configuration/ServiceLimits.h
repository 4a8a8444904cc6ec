#pragma once

#include <cstdint>

namespace sycamore::configuration {

// Resource limits of a service, per backend server unless stated otherwise.
struct ServiceLimits
{
  // Maximum number of requests that wait for a slot; further ones are refused as overloaded.
  std::uint32_t queueLength = 64;
  // Maximum number of connections that entry VMs open to a server.
  std::uint32_t connections = 120;
  // Maximum size of a request body in bytes, 8 MiB by default.
  std::uint64_t bodyBytes = 8ULL << 20;

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

} // namespace sycamore::configuration
