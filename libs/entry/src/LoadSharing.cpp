#include <entry/LoadSharing.h>

#include <entry/SteadyTime.h>

namespace sycamore::entry {

namespace {

constexpr base::Duration kSummaryInterval = base::milliseconds(200);

} // namespace

LoadSharing::LoadSharing(PeerLink& peerLink, std::string ownIp, SummaryListener summaryListener)
  : peerLink_(peerLink)
  , ownIp_(std::move(ownIp))
  , summaryListener_(std::move(summaryListener))
{
}

void LoadSharing::reportUse(const std::map<base::ServerId, dispatch::ServerUse>& use)
{
  if (aggregatorIp_ == ownIp_) {
    aggregator_.onReport(ownIp_, use, clockNow());
  } else if (!aggregatorIp_.empty()) {
    peerLink_.send({ aggregatorIp_, true }, ServerUseMessage{ use });
  }
}

void LoadSharing::onUseMessage(const ServerUseMessage& message, const std::string& from)
{
  aggregator_.onReport(from, message.servers, clockNow());
}

void LoadSharing::onSummaryMessage(const LoadSummaryMessage& message, const std::string& from)
{
  if (from == aggregatorIp_) {
    summaryListener_(message.summary);
  }
}

void LoadSharing::tick(base::TimePoint now)
{
  if (now < nextSummaryAt_) {
    return;
  }
  nextSummaryAt_ = now + kSummaryInterval;
  const LoadSummaryMessage message{ aggregator_.summary(now) };
  if (message.summary.vms < dispatch::kMinSharingVms) {
    return;
  }
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

} // namespace sycamore::entry
