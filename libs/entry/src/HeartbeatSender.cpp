#include <entry/HeartbeatSender.h>

#include <entry/LoadSharing.h>

#include <map>
#include <string>
#include <utility>

namespace sycamore::entry {

namespace {

constexpr base::Duration kHeartbeatInterval = base::milliseconds(200);

std::map<base::VmId, unsigned> ranksOf(const std::vector<dispatch::Candidate>& successors)
{
  std::map<base::VmId, unsigned> ranks;
  for (const dispatch::Candidate& candidate : successors) {
    ranks.emplace(candidate.vm, static_cast<unsigned>(ranks.size()));
  }
  return ranks;
}

} // namespace

HeartbeatSender::HeartbeatSender(PeerLink& peerLink,
                                 const dispatch::PeerTable& peerTable,
                                 base::DomainId ownDomain)
  : peerLink_(peerLink)
  , peerTable_(peerTable)
  , ownDomain_(std::move(ownDomain))
{
}

void HeartbeatSender::send(HeartbeatMessage message,
                           const std::vector<dispatch::Candidate>& successors,
                           base::TimePoint configurationCurrentAt,
                           base::TimePoint now)
{
  const std::map<base::VmId, unsigned> ranks = ranksOf(successors);
  const std::map<base::DomainId, std::string> loadAggregators = peerTable_.loadAggregators(now);
  for (const auto& [vm, peer] : peerTable_.peers()) {
    const auto rank = ranks.find(vm);
    // Unresponsive VMs get the last rank, since they may respond again.
    message.rank = rank == ranks.end() ? static_cast<unsigned>(ranks.size()) : rank->second;
    nameLoadAggregators(message, loadAggregators, peer.domain, peer.address);
    message.configurationEcho = reportStamps_.echoFor(vm, configurationCurrentAt);
    peerLink_.send({ peer.address, peer.domain == ownDomain_ }, message);
  }
  nextHeartbeatAt_ = now + kHeartbeatInterval;
}

} // namespace sycamore::entry
