#pragma once

#include <base/Ids.h>
#include <telemetry/TimeBucketRing.h>

#include <map>
#include <optional>
#include <vector>

namespace sycamore::telemetry {

// Requests of each server per minute, newest minute first.
using LoadTable = std::map<base::ServerId, std::vector<std::uint64_t>>;

// Requests to each server of one service over the last hour. Tracks at most kMaxServers servers;
// requests to further servers are not counted. Not thread-safe.
class ServerLoads
{
public:
  static constexpr std::size_t kMaxServers = 256;

  ServerLoads();

  // Counts requests to a server. A count of 0 registers an idle server, so that it is included in
  // the mean load.
  void record(const base::ServerId& server, std::uint64_t requests, base::TimePoint now);
  // Removes the servers that are not listed and had no request in the last hour.
  void retain(const std::vector<base::ServerId>& servers, base::TimePoint now);

  LoadTable table(base::TimePoint now) const;

private:
  using Loads = std::vector<std::uint32_t>;

  std::optional<std::size_t> indexOf(const base::ServerId& server);
  bool isIdle(std::size_t index, base::TimePoint now) const;

  TimeBucketRing<Loads> buckets_;
  std::map<base::ServerId, std::size_t> indexes_;
  std::vector<std::size_t> freeIndexes_;
};

// Returns the largest load of a server divided by the mean load in the given minute, or nothing if
// there were no requests.
std::optional<double> imbalance(const LoadTable& loads, std::size_t minute);

} // namespace sycamore::telemetry
