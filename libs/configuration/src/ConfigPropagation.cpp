#include <configuration/ConfigPropagation.h>

#include <algorithm>
#include <iterator>

namespace sycamore::configuration {

ConfigPropagation::ConfigPropagation(base::VmId self, PropagationTiming timing)
  : self_(std::move(self))
  , timing_(timing)
{
}

void ConfigPropagation::setPeers(const std::set<base::VmId>& peers)
{
  std::erase_if(peers_, [&](const auto& peer) { return !peers.contains(peer.first); });
  for (const base::VmId& peer : peers) {
    if (peer != self_) {
      peers_.try_emplace(peer);
    }
  }
}

PropagationActions ConfigPropagation::onHeartbeat(const base::VmId& peer,
                                                  const ConfigDigest& theirs,
                                                  const ConfigDigest& ours,
                                                  base::TimePoint now)
{
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return {};
  }
  Peer& state = found->second;
  if (state.digest != theirs) {
    state.fetchInterval = {};
    state.nextFetchAt = now;
  }
  state.digest = theirs;
  state.lastHeardAt = now;
  return { chooseFetches(ours, now), {} };
}

PropagationActions ConfigPropagation::onAdopted(const ConfigDigest& ours, base::TimePoint now)
{
  return { chooseFetches(ours, now), choosePeersToNotify(ours) };
}

PropagationActions ConfigPropagation::onFetchResult(const base::VmId& peer,
                                                    bool answered,
                                                    const ConfigDigest& ours,
                                                    base::TimePoint now)
{
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return {};
  }
  Peer& state = found->second;
  state.fetchDeadline.reset();
  if (answered && state.digestAtFetchStart != ours) {
    state.fetchInterval = {};
  } else {
    delayNextFetch(state, now);
  }
  return { chooseFetches(ours, now), {} };
}

PropagationActions ConfigPropagation::onTick(const ConfigDigest& ours, base::TimePoint now)
{
  return { chooseFetches(ours, now), {} };
}

std::vector<base::VmId> ConfigPropagation::chooseFetches(const ConfigDigest& ours,
                                                         base::TimePoint now)
{
  const std::size_t inFlight = expireFetches(now);
  std::vector<std::pair<base::TimePoint, base::VmId>> candidates;
  for (const auto& [id, peer] : peers_) {
    if (mayFetchFrom(peer, ours, now)) {
      candidates.emplace_back(peer.lastHeardAt, id);
    }
  }
  // The peer heard from last is the most likely to be alive and to have the newest objects.
  std::sort(candidates.rbegin(), candidates.rend());
  candidates.resize(std::min(candidates.size(), kMaxFetches - std::min(kMaxFetches, inFlight)));
  std::vector<base::VmId> chosen;
  for (auto& [lastHeardAt, id] : candidates) {
    peers_[id].fetchDeadline = now + timing_.fetchTimeout;
    peers_[id].digestAtFetchStart = ours;
    chosen.push_back(std::move(id));
  }
  return chosen;
}

bool ConfigPropagation::mayFetchFrom(const Peer& peer,
                                     const ConfigDigest& ours,
                                     base::TimePoint now) const
{
  return peer.digest && *peer.digest != ours && !peer.fetchDeadline && now >= peer.nextFetchAt;
}

std::size_t ConfigPropagation::expireFetches(base::TimePoint now)
{
  std::size_t inFlight = 0;
  for (auto& [id, peer] : peers_) {
    if (peer.fetchDeadline && now >= *peer.fetchDeadline) {
      peer.fetchDeadline.reset();
      delayNextFetch(peer, now);
    }
    inFlight += peer.fetchDeadline ? 1 : 0;
  }
  return inFlight;
}

void ConfigPropagation::delayNextFetch(Peer& peer, base::TimePoint now) const
{
  const base::Duration doubled = peer.fetchInterval * 2;
  peer.fetchInterval =
    std::clamp<base::Duration>(doubled, timing_.fetchInterval, timing_.maxFetchInterval);
  peer.nextFetchAt = now + peer.fetchInterval;
}

std::vector<base::VmId> ConfigPropagation::choosePeersToNotify(const ConfigDigest& ours)
{
  std::vector<base::VmId> behind;
  for (const auto& [id, peer] : peers_) {
    if (peer.digest != ours) {
      behind.push_back(id);
    }
  }
  if (behind.size() <= kMaxNotified) {
    return behind;
  }
  // Start at different peers for successive adoptions and on different VMs.
  const std::size_t first = (nextNotified_ + std::hash<base::VmId>{}(self_)) % behind.size();
  nextNotified_ += kMaxNotified;
  std::rotate(behind.begin(), behind.begin() + static_cast<std::ptrdiff_t>(first), behind.end());
  behind.resize(kMaxNotified);
  return behind;
}

std::optional<base::VmId> platformWatcherOf(const std::set<base::VmId>& liveVmsOfDomain)
{
  return liveVmsOfDomain.empty() ? std::nullopt : std::optional(*liveVmsOfDomain.begin());
}

} // namespace sycamore::configuration
