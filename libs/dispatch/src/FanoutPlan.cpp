#include <dispatch/FanoutPlan.h>

#include <algorithm>
#include <map>

namespace sycamore::dispatch {

std::vector<std::string> chooseForwarders(std::vector<const FanoutPeer*> peers,
                                          const FanoutSettings& settings,
                                          base::TimePoint now)
{
  std::erase_if(peers, [&](const FanoutPeer* peer) {
    return now >= peer->lastHeardAt + settings.forwarderTimeout;
  });
  std::ranges::sort(peers, [](const FanoutPeer* a, const FanoutPeer* b) {
    return a->capacity != b->capacity ? a->capacity > b->capacity : a->vm < b->vm;
  });
  std::vector<std::string> forwarders;
  for (const FanoutPeer* peer : peers) {
    if (forwarders.size() == settings.forwardersPerDomain) {
      break;
    }
    forwarders.push_back(peer->address);
  }
  return forwarders;
}

FanoutPlan planFanout(const std::vector<FanoutPeer>& peers,
                      const base::DomainId& ownDomain,
                      const FanoutSettings& settings,
                      base::TimePoint now)
{
  FanoutPlan plan;
  std::map<base::DomainId, std::vector<const FanoutPeer*>> otherDomains;
  for (const FanoutPeer& peer : peers) {
    if (peer.domain == ownDomain) {
      plan.sameDomain.push_back(peer.address);
    } else {
      otherDomains[peer.domain].push_back(&peer);
    }
  }
  for (const auto& [domain, members] : otherDomains) {
    DomainFanout fanout;
    for (const FanoutPeer* peer : members) {
      fanout.receivers.push_back(peer->address);
    }
    fanout.forwarders = chooseForwarders(members, settings, now);
    // A single forwarder might just have failed, so that it isn't relied on.
    if (members.size() < settings.minForwardedVms ||
        fanout.forwarders.size() < settings.forwardersPerDomain) {
      plan.otherDomains.insert(
        plan.otherDomains.end(), fanout.receivers.begin(), fanout.receivers.end());
    } else {
      plan.forwarded.push_back(std::move(fanout));
    }
  }
  return plan;
}

} // namespace sycamore::dispatch
