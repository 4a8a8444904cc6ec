#include <membership/MemberTable.h>

#include <algorithm>
#include <set>

namespace sycamore::membership {

using base::DomainId;
using base::Duration;
using base::ServerId;
using base::TimePoint;
using base::VmId;

MemberTable::MemberTable(VmId self, DomainId domain, MembershipTimings timings)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , timings_(timings)
{
}

void MemberTable::updateFromList(const std::vector<ListedVm>& list, TimePoint now)
{
  if (firstListAt_ == TimePoint()) {
    firstListAt_ = now;
  }
  std::set<VmId> listed;
  servers_.clear();
  for (const ListedVm& vm : list) {
    if (vm.role == Role::Backend) {
      servers_[ServerId(vm.id)] = vm;
      continue;
    }
    const VmId id(vm.id);
    if (id == self_) {
      selfLeaving_ = selfLeaving_ || vm.state == ListedState::Leaving;
      continue;
    }
    listed.insert(id);
    auto [found, inserted] = peers_.try_emplace(id);
    Peer& peer = found->second;
    if (inserted) {
      peer.id = id;
      peer.knownSince = now;
    }
    peer.peerAddress = vm.peerAddress;
    peer.domain = vm.domain;
    peer.listed = true;
    peer.leaving = peer.leaving || vm.state == ListedState::Leaving;
  }
  for (auto& [id, peer] : peers_) {
    if (peer.listed && !listed.contains(id)) {
      peer.listed = false;
      peer.missingSince = now;
    }
  }
  removeGonePeers(now);
}

void MemberTable::onHeartbeat(const VmId& from,
                              const std::string& peerAddress,
                              const DomainId& domain,
                              base::Incarnation incarnation,
                              bool leaving,
                              TimePoint now)
{
  if (from == self_) {
    return;
  }
  auto [found, inserted] = peers_.try_emplace(from);
  Peer& peer = found->second;
  if (inserted) {
    peer.id = from;
    peer.knownSince = now;
    peer.missingSince = now;
  }
  peer.peerAddress = peerAddress;
  peer.domain = domain;
  // A restarted VM is no longer leaving, unless its heartbeat reports so again.
  peer.leaving = leaving;
  peer.incarnation = incarnation;
  peer.lastHeartbeatAt = now;
}

std::vector<Peer> MemberTable::peers() const
{
  std::vector<Peer> all;
  for (const auto& [id, peer] : peers_) {
    all.push_back(peer);
  }
  return all;
}

std::optional<Peer> MemberTable::findPeer(const VmId& id) const
{
  const auto found = peers_.find(id);
  return found == peers_.end() ? std::nullopt : std::optional(found->second);
}

bool MemberTable::isAlive(const Peer& peer, TimePoint now) const
{
  if (peer.lastHeartbeatAt != TimePoint()) {
    return now - peer.lastHeartbeatAt < timings_.peerTimeout;
  }
  return peer.listed && now - peer.knownSince < timings_.firstHeartbeatTimeout;
}

bool MemberTable::isAlive(const VmId& id, TimePoint now) const
{
  if (id == self_) {
    return true;
  }
  const auto found = peers_.find(id);
  return found != peers_.end() && isAlive(found->second, now);
}

std::vector<VmId> MemberTable::liveEntryVms(TimePoint now, bool includeLeaving) const
{
  std::vector<VmId> live;
  if (includeLeaving || !selfLeaving_) {
    live.push_back(self_);
  }
  for (const auto& [id, peer] : peers_) {
    if (isAlive(peer, now) && (includeLeaving || !peer.leaving)) {
      live.push_back(id);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

std::optional<DomainId> MemberTable::domainOf(const VmId& id) const
{
  if (id == self_) {
    return domain_;
  }
  const auto found = peers_.find(id);
  return found == peers_.end() ? std::nullopt : std::optional(found->second.domain);
}

bool MemberTable::isRelay(TimePoint now) const
{
  for (const VmId& id : liveEntryVms(now)) {
    if (domainOf(id) == domain_) {
      return id == self_;
    }
  }
  return false;
}

bool MemberTable::isGone(const VmId& id, Duration missing, TimePoint now) const
{
  if (id == self_) {
    return false;
  }
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    // Removed from the table, or in no list since the first one that this VM received.
    return firstListAt_ != TimePoint() && now - firstListAt_ >= missing;
  }
  const Peer& peer = found->second;
  return !isAlive(peer, now) && !peer.listed && now - peer.missingSince >= missing;
}

void MemberTable::removeGonePeers(TimePoint now)
{
  std::erase_if(peers_, [&](const auto& entry) {
    return isGone(entry.first, timings_.removalDelay + timings_.peerTimeout, now);
  });
}

} // namespace sycamore::membership
