#pragma once

#include <entry/PeerLink.h>

#include <dispatch/LoadAggregator.h>

#include <functional>
#include <map>
#include <string>

namespace sycamore::entry {

// This VM's part in sharing the load of the servers within its failure domain: reports its own use
// to the VM that aggregates, or aggregates for the domain. Control thread only.
class LoadSharing
{
public:
  // Notified of each summary of the domain's load.
  using SummaryListener = std::function<void(dispatch::LoadSummary)>;

  LoadSharing(PeerLink& peerLink, std::string ownIp, SummaryListener summaryListener);

  // Sets the IP address of the VM that aggregates for this domain; empty if none is known.
  void setAggregator(const std::string& ip) { aggregatorIp_ = ip; }

  void reportUse(const std::map<base::ServerId, dispatch::ServerUse>& use);

  void onUseMessage(const ServerUseMessage& message, const std::string& from);
  void onSummaryMessage(const LoadSummaryMessage& message, const std::string& from);

  // Sends a summary to the VMs that report to this one, if one is due.
  void tick(base::TimePoint now);

private:
  PeerLink& peerLink_;
  std::string ownIp_;
  SummaryListener summaryListener_;
  std::string aggregatorIp_;
  // Has reports only while other VMs, or this one, take this VM for the aggregating one.
  dispatch::LoadAggregator aggregator_;
  base::TimePoint nextSummaryAt_{};
};

} // namespace sycamore::entry
