#pragma once

#include <entry/PeerLink.h>

#include <dispatch/DemandAggregator.h>
#include <dispatch/LoadAggregator.h>

#include <functional>
#include <map>
#include <string>

namespace sycamore::entry {

// Names in a heartbeat the VMs that aggregate load, as far as its receiver needs them.
// `aggregators` holds their addresses by domain, `domain` and `address` are the receiver's.
void nameLoadAggregators(HeartbeatMessage& heartbeat,
                         const std::map<base::DomainId, std::string>& aggregators,
                         const base::DomainId& domain,
                         const std::string& address);

// This VM's part in sharing the load of the servers and the demand for services: reports its own
// use and demand to the VM that aggregates for its failure domain, or aggregates for the domain and
// exchanges sums with the VMs that do so for the other domains. Control thread only.
class LoadSharing
{
public:
  // Notified of each summary of the domain's load.
  using SummaryListener = std::function<void(dispatch::LoadSummary)>;

  LoadSharing(PeerLink& peerLink,
              std::string ownIp,
              base::DomainId ownDomain,
              SummaryListener summaryListener);

  // Sets the IP address of the VM that aggregates for this domain, empty if none is known, and
  // those of the other domains, which only that VM needs.
  void setAggregators(const std::string& own, std::vector<std::string> others)
  {
    aggregatorIp_ = own;
    otherAggregatorIps_ = std::move(others);
  }

  void report(const ServerUseMessage& message);

  void onUseMessage(const ServerUseMessage& message, const std::string& from);
  void onSummaryMessage(const LoadSummaryMessage& message, const std::string& from);
  void onSumsMessage(const DomainSumsMessage& message);

  // Sends a summary to the VMs that report to this one, and the sums of the domain to the VMs that
  // aggregate for other domains, if due.
  void tick(const dispatch::RoutingView& view, base::TimePoint now);

private:
  void sendSummary(const LoadSummaryMessage& message);
  void sendSums(const dispatch::DomainSums& sums);

  PeerLink& peerLink_;
  std::string ownIp_;
  base::DomainId ownDomain_;
  SummaryListener summaryListener_;
  std::string aggregatorIp_;
  std::vector<std::string> otherAggregatorIps_;
  // Has reports only while other VMs, or this one, take this VM for the aggregating one.
  dispatch::LoadAggregator aggregator_;
  dispatch::DemandAggregator demand_;
  base::TimePoint nextSummaryAt_{};
  base::TimePoint nextSumsAt_{};
};

} // namespace sycamore::entry
