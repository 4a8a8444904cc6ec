#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/ServiceDemand.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sycamore::dispatch {

// How a request of a service without keys ranks the failure domains.
enum class DomainRank
{
  // The domain that the request should go to.
  Preferred,
  // A domain that may take it if the preferred one has long queues.
  Spare,
  // A domain that has nothing to spare, or hasn't been heard from lately. It is considered only if
  // no other domain has a usable server.
  LastResort
};

// Decides how many of a service's requests the entry VMs of one failure domain send to others: what
// the domain's own servers can't take, as far as the other domains have room to spare. It follows
// from the demand of callers and the capacity of servers in each domain, not from where requests
// are sent, so that decisions don't feed back on themselves, and all VMs of the domain that have
// the same figures decide alike.
class DomainOverflow
{
public:
  explicit DomainOverflow(base::DomainId ownDomain);

  // Load of the service by domain. A domain that hasn't been heard from lately is missing.
  void onLoad(const std::map<base::DomainId, DomainLoad>& domains, base::TimePoint now);

  // A request of the service took this many bytes with its answer.
  void onExchange(std::uint64_t bytes);

  // Returns the domain that a request should go to. `draw` in [0, 1) is random. Without recent
  // figures, it is this VM's own.
  const base::DomainId& preferredDomain(double draw, base::TimePoint now) const;

  // Returns the rank of a domain for a request with this preferred domain.
  DomainRank rank(const base::DomainId& domain,
                  const base::DomainId& preferred,
                  base::TimePoint now) const;

  // Returns the extra expected latency up to which the preferred domain is kept to, as a multiple
  // of the processing time. Traffic between domains is expensive, large bodies more than small
  // ones.
  double penalty(base::TimePoint now) const;

  // Returns the share of the domain's requests that other domains get.
  double shareSentAway(base::TimePoint now) const;
  // Returns the shares by domain, as last decided.
  const std::map<base::DomainId, double>& sharesSent() const { return sharesSent_; }

private:
  bool hasFigures(base::TimePoint now) const { return now < expiresAt_; }

  base::DomainId ownDomain_;
  // Domains whose own servers can't take their demand, until it has fallen clearly below what they
  // can take.
  std::set<base::DomainId> overflowing_;
  // Share of this domain's requests for each other domain.
  std::map<base::DomainId, double> sharesSent_;
  // Domains that may take single requests.
  std::set<base::DomainId> spareDomains_;
  base::TimePoint expiresAt_{};
  double meanBytes_ = 0;
};

} // namespace sycamore::dispatch
