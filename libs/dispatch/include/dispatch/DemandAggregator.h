#pragma once

#include <dispatch/LoadAggregator.h>
#include <dispatch/RoutingView.h>
#include <dispatch/ServiceDemand.h>

#include <map>

namespace sycamore::dispatch {

// Adds up the demand for services that the entry VMs of a failure domain report, and the sums of
// the other domains. Used by the VM that aggregates the load for its domain.
class DemandAggregator
{
public:
  // Another VM of the domain, or this one, has reported the demand since its last report.
  void onReport(const std::map<base::ServiceId, ServiceDemand>& demand, base::TimePoint now);

  // The VM that aggregates for another domain has sent the sums of that domain.
  void onDomainSums(const base::DomainId& domain, DomainSums sums, base::TimePoint now);

  // Returns the sums of this domain, with the capacity and the requests in flight that follow from
  // the shared load of the servers.
  DomainSums ownSums(const base::DomainId& domain,
                     const std::map<base::ServerId, SharedServerLoad>& servers,
                     const RoutingView& view,
                     base::TimePoint now) const;

  // Returns the load of each service from this domain's sums and those of the other domains that
  // have been heard from lately, and forgets the others.
  std::map<base::ServiceId, ServiceLoad> services(const base::DomainId& domain,
                                                  const DomainSums& own,
                                                  base::TimePoint now);

private:
  struct PriorityRates
  {
    EventRate offered;
    EventRate refused;
  };

  struct ReceivedSums
  {
    DomainSums sums;
    base::TimePoint expiresAt;
  };

  std::map<base::ServiceId, std::map<unsigned, PriorityRates>> rates_;
  std::map<base::DomainId, ReceivedSums> otherDomains_;
  base::TimePoint firstReportAt_{};
  base::TimePoint lastReportAt_{};
};

} // namespace sycamore::dispatch
