#pragma once

#include <base/Ids.h>
#include <dispatch/LeavingServers.h>

#include <optional>

namespace sycamore::dispatch {

// Rate of requests that a server takes from all entry VMs together.
struct RequestLimit
{
  double perSecond = 1;

  bool operator==(const RequestLimit&) const = default;
};

// A server and the limit that it has named.
struct LimitedServer
{
  ServerIncarnation server;
  RequestLimit limit;

  bool operator==(const LimitedServer&) const = default;
};

// Returns the limit to use for a number that a server has named; none if the number can't be meant.
std::optional<RequestLimit> usableLimit(double perSecond);

} // namespace sycamore::dispatch
