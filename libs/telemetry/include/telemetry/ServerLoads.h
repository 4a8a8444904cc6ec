#pragma once

#include <base/Ids.h>
#include <telemetry/TimeBucketRing.h>

#include <map>
#include <optional>
#include <vector>

namespace sycamore::telemetry {

// Requests per server and minute, newest first.
using LoadTable = std::map<base::ServerId, std::vector<std::uint64_t>>;

// Requests per server of one service over the last hour, of at most kMaxServers servers; when it is
// full, further ones are not counted. Not thread-safe.
class ServerLoads
{
public:
  static constexpr std::size_t kMaxServers = 256;

  ServerLoads();

  // Counts requests; 0 makes an idle server known, which lowers the mean.
  void record(const base::ServerId& server, std::uint64_t requests, base::TimePoint now);
  // Forgets the servers that are not named and had no request in the last hour.
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

// Largest load divided by the mean one in a minute, or nothing without requests.
std::optional<double> imbalance(const LoadTable& loads, std::size_t minute);

} // namespace sycamore::telemetry
