#include <entry/LoadSharing.h>

#include <entry/SteadyTime.h>

namespace sycamore::entry {

namespace {

constexpr base::Duration kSummaryInterval = base::milliseconds(200);
// Interval of the messages to other domains. Traffic between domains is expensive.
constexpr base::Duration kSumsInterval = base::milliseconds(500);

} // namespace

void nameLoadAggregators(HeartbeatMessage& heartbeat,
                         const std::map<base::DomainId, std::string>& aggregators,
                         const base::DomainId& domain,
                         const std::string& address)
{
  const auto own = aggregators.find(domain);
  heartbeat.loadAggregator = own == aggregators.end() ? std::string() : own->second;
  heartbeat.otherLoadAggregators.clear();
  if (heartbeat.loadAggregator != address) {
    return;
  }
  for (const auto& [other, aggregator] : aggregators) {
    if (other != domain) {
      heartbeat.otherLoadAggregators.push_back(aggregator);
    }
  }
}

LoadSharing::LoadSharing(PeerLink& peerLink,
                         std::string ownIp,
                         base::DomainId ownDomain,
                         SummaryListener summaryListener)
  : peerLink_(peerLink)
  , ownIp_(std::move(ownIp))
  , ownDomain_(std::move(ownDomain))
  , summaryListener_(std::move(summaryListener))
{
}

void LoadSharing::report(const ServerUseMessage& message)
{
  if (aggregatorIp_ == ownIp_) {
    onUseMessage(message, ownIp_);
  } else if (!aggregatorIp_.empty()) {
    peerLink_.send({ aggregatorIp_, true }, message);
  }
}

void LoadSharing::onUseMessage(const ServerUseMessage& message, const std::string& from)
{
  const base::TimePoint now = clockNow();
  aggregator_.onReport(from, message.servers, now);
  demand_.onReport(message.demand, now);
}

void LoadSharing::onSummaryMessage(const LoadSummaryMessage& message, const std::string& from)
{
  if (from == aggregatorIp_) {
    summaryListener_(message.summary);
  }
}

void LoadSharing::onSumsMessage(const DomainSumsMessage& message)
{
  if (message.domain != ownDomain_) {
    demand_.onDomainSums(message.domain, message.sums, clockNow());
  }
}

void LoadSharing::tick(const dispatch::RoutingView& view, base::TimePoint now)
{
  if (now < nextSummaryAt_) {
    return;
  }
  nextSummaryAt_ = now + kSummaryInterval;
  LoadSummaryMessage message{ aggregator_.summary(now) };
  if (message.summary.vms < dispatch::kMinSharingVms) {
    return;
  }
  const dispatch::DomainSums sums = demand_.ownSums(ownDomain_, message.summary.servers, view, now);
  message.summary.services = demand_.services(ownDomain_, sums, now);
  sendSummary(message);
  if (aggregatorIp_ == ownIp_ && now >= nextSumsAt_) {
    nextSumsAt_ = now + kSumsInterval;
    sendSums(sums);
  }
}

void LoadSharing::sendSummary(const LoadSummaryMessage& message)
{
  std::vector<PeerAddress> receivers;
  for (const std::string& reporter : aggregator_.reporters()) {
    if (reporter == ownIp_) {
      summaryListener_(message.summary);
    } else {
      receivers.push_back({ reporter, true });
    }
  }
  if (!receivers.empty()) {
    peerLink_.send(receivers, message);
  }
}

void LoadSharing::sendSums(const dispatch::DomainSums& sums)
{
  std::vector<PeerAddress> receivers;
  for (const std::string& other : otherAggregatorIps_) {
    receivers.push_back({ other, false });
  }
  if (!receivers.empty()) {
    peerLink_.send(receivers, DomainSumsMessage{ ownDomain_, sums });
  }
}

} // namespace sycamore::entry
