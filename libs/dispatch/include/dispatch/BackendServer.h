#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <cstdint>
#include <string>

namespace sycamore::dispatch {

// A registered backend server, as last read from the store.
struct BackendServer
{
  base::ServerId id;
  // Wall-clock start of this incarnation, in Unix milliseconds. A server that restarts under the
  // same id is a new incarnation and holds no keys.
  std::int64_t born = 0;
  base::ServiceId service;
  // IP address and port.
  std::string address;
  base::DomainId domain;
  // Maximum number of concurrent requests, at least 1.
  unsigned slots = 1;
  bool draining = false;
  // End of the cold start as last announced; in the past once the server is warm.
  base::TimePoint coldUntil{};

  bool operator==(const BackendServer&) const = default;
};

// Load that a server reports in an answer.
struct LoadReport
{
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 1;
  // Current processing time relative to the usual one.
  double slowness = 1;
};

} // namespace sycamore::dispatch
