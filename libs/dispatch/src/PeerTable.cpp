#include <dispatch/PeerTable.h>

#include <algorithm>

namespace sycamore::dispatch {

void PeerTable::onRegistered(const base::VmId& vm, const EntryVmRecord& record, base::TimePoint now)
{
  peers_.try_emplace(vm, FanoutPeer{ vm, record.address, record.domain, record.capacity, now });
}

void PeerTable::onReport(const base::VmId& vm,
                         const EntryVmRecord& record,
                         bool leaving,
                         base::TimePoint now)
{
  peers_[vm] = {
    vm, record.address, record.domain, record.capacity, leaving ? base::TimePoint{} : now
  };
}

void PeerTable::onSharersAnnounced(std::size_t vms, base::TimePoint now)
{
  announcedSharers_ = vms;
  announcedUntil_ = now + settings_.limitShareTimeout;
}

std::vector<FanoutPeer> PeerTable::receivers() const
{
  std::vector<FanoutPeer> receivers;
  for (const auto& [vm, peer] : peers_) {
    receivers.push_back(peer);
  }
  return receivers;
}

std::vector<Candidate> PeerTable::successors(base::TimePoint now) const
{
  std::vector<Candidate> order;
  for (const auto& [vm, peer] : peers_) {
    if (now < peer.lastHeardAt + settings_.candidateTimeout) {
      order.push_back({ vm, peer.capacity });
    }
  }
  sortBySuccession(order);
  return order;
}

std::size_t PeerTable::vmsSharingLimits(base::TimePoint now) const
{
  const auto peers = std::ranges::count_if(peers_, [&](const auto& entry) {
    return now < entry.second.lastHeardAt + settings_.limitShareTimeout;
  });
  const std::size_t announced = now < announcedUntil_ ? announcedSharers_ : 0;
  return std::max(static_cast<std::size_t>(peers) + 1, announced);
}

std::map<base::DomainId, std::string> PeerTable::loadAggregators(base::TimePoint now) const
{
  std::map<base::DomainId, std::vector<const FanoutPeer*>> domains;
  for (const auto& [vm, peer] : peers_) {
    domains[peer.domain].push_back(&peer);
  }
  std::map<base::DomainId, std::string> aggregators;
  for (const auto& [domain, members] : domains) {
    const std::vector<std::string> chosen = chooseForwarders(members, {}, now);
    if (!chosen.empty()) {
      aggregators[domain] = chosen.front();
    }
  }
  return aggregators;
}

bool PeerTable::isInDomain(const base::VmId& vm, const base::DomainId& domain) const
{
  const auto found = peers_.find(vm);
  return found != peers_.end() && found->second.domain == domain;
}

} // namespace sycamore::dispatch
