#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>

namespace sycamore::dispatch {

// Requests of one priority that arrived for a service, and those of them that were refused for lack
// of room.
struct PriorityDemand
{
  std::uint32_t offered = 0;
  std::uint32_t refused = 0;
};

// Requests for one service since an entry VM's last report, by priority.
using ServiceDemand = std::map<unsigned, PriorityDemand>;

struct DemandRate
{
  double offeredPerSecond = 0;
  double refusedPerSecond = 0;
};

// Demand, capacity and requests in flight of a service in one failure domain.
struct DomainLoad
{
  // Requests that arrive at the domain's entry VMs.
  double offeredPerSecond = 0;
  // Requests that the usable servers in the domain can run.
  double capacityPerSecond = 0;
  // Requests of all entry VMs that are at the servers in the domain.
  unsigned inFlight = 0;
};

// Demand for a service over all failure domains, by priority, and the load by domain. A domain
// whose entry VMs haven't been heard from lately is missing.
struct ServiceLoad
{
  std::map<unsigned, DemandRate> priorities;
  std::map<base::DomainId, DomainLoad> domains;
};

// What the entry VMs of one failure domain know of a service.
struct DomainServiceSums
{
  std::map<unsigned, DemandRate> priorities;
  // Requests per second that the usable servers in their domain can run.
  double capacityPerSecond = 0;
  // Requests that they have at the servers of each domain.
  std::map<base::DomainId, unsigned> inFlight;
};

using DomainSums = std::map<base::ServiceId, DomainServiceSums>;

// Exponentially weighted rate of events.
class EventRate
{
public:
  void add(double count, base::TimePoint now)
  {
    count_ = count_ * decay(now) + count;
    updatedAt_ = now;
  }

  // Returns the events per second of a count that began at `beganAt`.
  double perSecond(base::TimePoint beganAt, base::TimePoint now) const
  {
    const double counted = std::max(kMinCountedSeconds, secondsBetween(beganAt, now));
    return count_ * decay(now) / (kMeanSeconds * (1 - std::exp(-counted / kMeanSeconds)));
  }

private:
  static double secondsBetween(base::TimePoint from, base::TimePoint to)
  {
    return std::chrono::duration<double>(to - from).count();
  }

  double decay(base::TimePoint now) const
  {
    return std::exp(-secondsBetween(updatedAt_, now) / kMeanSeconds);
  }

  // Time constant: bursts last a few seconds.
  static constexpr double kMeanSeconds = 0.8;
  // Time before which too few reports have come in to tell a rate.
  static constexpr double kMinCountedSeconds = 0.2;

  double count_ = 0;
  base::TimePoint updatedAt_{};
};

} // namespace sycamore::dispatch
