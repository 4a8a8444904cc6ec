#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <string>
#include <vector>

namespace sycamore::dispatch {

// An entry VM as a receiver of changes.
struct FanoutPeer
{
  base::VmId vm;
  std::string address;
  base::DomainId domain;
  double capacity = 1;
  base::TimePoint lastHeardAt;
};

struct FanoutSettings
{
  // Number of VMs in each other domain that forward a change. Each of them forwards to the whole
  // domain, so that the loss of one VM or of one datagram delays no change.
  unsigned forwardersPerDomain = 2;
  // Time without a report after which a VM no longer forwards.
  base::Duration forwarderTimeout = base::milliseconds(1200);
  // Domains with fewer other VMs get every message directly, because forwarding would save little.
  std::size_t minForwardedVms = 4;
};

// Receivers in one other domain and the VMs that forward to them.
struct DomainFanout
{
  std::vector<std::string> forwarders;
  // All receivers in the domain, forwarders included.
  std::vector<std::string> receivers;
};

// How a change gets from one VM to all others.
struct FanoutPlan
{
  // Receivers that get the change from this VM, in its own domain and in others.
  std::vector<std::string> sameDomain;
  std::vector<std::string> otherDomains;
  std::vector<DomainFanout> forwarded;
};

// Returns the addresses of the VMs that forward for a domain with these VMs: those with the most
// processor capacity, and by name among equal ones, so that the choice changes rarely.
std::vector<std::string> chooseForwarders(std::vector<const FanoutPeer*> peers,
                                          const FanoutSettings& settings,
                                          base::TimePoint now);

// Decides by which way a change gets to all other entry VMs. A change crosses the border of a
// failure domain only once per forwarder instead of once per VM, since traffic between domains is
// expensive and hundreds of sends for each change would keep one VM busy. A VM that misses a
// message notices it by the revision in the coordinator's next heartbeat, which is sent directly.
FanoutPlan planFanout(const std::vector<FanoutPeer>& peers,
                      const base::DomainId& ownDomain,
                      const FanoutSettings& settings,
                      base::TimePoint now);

} // namespace sycamore::dispatch
