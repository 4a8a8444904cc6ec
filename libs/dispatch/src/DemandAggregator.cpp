#include <dispatch/DemandAggregator.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Time after which the sums of another domain no longer count: several messages have been lost, or
// the domain is cut off.
constexpr base::Duration kDomainSumsTimeout = base::milliseconds(1800);
// Time without a report after which a VM no longer aggregates, so that its rates begin anew.
constexpr base::Duration kReportPause = base::milliseconds(2000);
// Processing time of the servers of a service of which none has been measured.
constexpr double kAssumedWorkSeconds = 0.1;
// Rate below which a priority is left out.
constexpr double kMinRate = 0.05;

double toSeconds(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

// Mean processing time over the measured servers of a service.
struct MeasuredWork
{
  double seconds = 0;
  unsigned servers = 0;

  double mean() const { return servers > 0 ? seconds / servers : kAssumedWorkSeconds; }
};

std::map<base::ServiceId, MeasuredWork> measuredWork(
  const std::map<base::ServerId, SharedServerLoad>& shared,
  const std::map<base::ServerId, BackendServer>& servers)
{
  std::map<base::ServiceId, MeasuredWork> work;
  for (const auto& [id, load] : shared) {
    const auto server = servers.find(id);
    if (server != servers.end() && load.work > base::Duration::zero()) {
      MeasuredWork& measured = work[server->second.service];
      measured.seconds += toSeconds(load.work);
      ++measured.servers;
    }
  }
  return work;
}

// Returns the requests per second that a server can run.
double capacityOf(const BackendServer& server,
                  double workSeconds,
                  const RoutingView& view,
                  base::TimePoint now)
{
  const double warm = server.slots / std::max(0.001, workSeconds);
  if (now >= server.coldUntil || !view.configuration) {
    return warm;
  }
  const auto policy = view.configuration->services.find(server.service);
  const bool isLimited =
    policy != view.configuration->services.end() && policy->second.coldRate > 0;
  return isLimited ? std::min(warm, policy->second.coldRate) : warm;
}

void addSums(ServiceLoad& load, const base::DomainId& domain, const DomainServiceSums& sums)
{
  DomainLoad& own = load.domains[domain];
  own.capacityPerSecond = sums.capacityPerSecond;
  for (const auto& [priority, rate] : sums.priorities) {
    own.offeredPerSecond += rate.offeredPerSecond;
    load.priorities[priority].offeredPerSecond += rate.offeredPerSecond;
    load.priorities[priority].refusedPerSecond += rate.refusedPerSecond;
  }
}

} // namespace

void DemandAggregator::onReport(const std::map<base::ServiceId, ServiceDemand>& demand,
                                base::TimePoint now)
{
  if (now >= lastReportAt_ + kReportPause) {
    rates_.clear();
    firstReportAt_ = now;
  }
  lastReportAt_ = now;
  for (const auto& [service, priorities] : demand) {
    for (const auto& [priority, counts] : priorities) {
      PriorityRates& rates = rates_[service][priority];
      rates.offered.add(counts.offered, now);
      rates.refused.add(counts.refused, now);
    }
  }
}

void DemandAggregator::onDomainSums(const base::DomainId& domain,
                                    DomainSums sums,
                                    base::TimePoint now)
{
  otherDomains_[domain] = { std::move(sums), now + kDomainSumsTimeout };
}

DomainSums DemandAggregator::ownSums(const base::DomainId& domain,
                                     const std::map<base::ServerId, SharedServerLoad>& servers,
                                     const RoutingView& view,
                                     base::TimePoint now) const
{
  DomainSums sums;
  for (const auto& [service, priorities] : rates_) {
    for (const auto& [priority, rates] : priorities) {
      const DemandRate rate{ rates.offered.perSecond(firstReportAt_, now),
                             rates.refused.perSecond(firstReportAt_, now) };
      if (rate.offeredPerSecond >= kMinRate) {
        sums[service].priorities[priority] = rate;
      }
    }
  }
  if (!view.servers) {
    return sums;
  }
  const std::map<base::ServiceId, MeasuredWork> work = measuredWork(servers, *view.servers);
  for (const auto& [id, server] : *view.servers) {
    const auto shared = servers.find(id);
    const bool isKnown = shared != servers.end();
    DomainServiceSums& service = sums[server.service];
    if (isKnown && shared->second.inFlight > 0) {
      service.inFlight[server.domain] += shared->second.inFlight;
    }
    if (server.domain == domain && !server.draining && !view.domainsOut.contains(domain)) {
      const auto mean = work.find(server.service);
      const double assumed = mean == work.end() ? kAssumedWorkSeconds : mean->second.mean();
      const bool isMeasured = isKnown && shared->second.work > base::Duration::zero();
      service.capacityPerSecond +=
        capacityOf(server, isMeasured ? toSeconds(shared->second.work) : assumed, view, now);
    }
  }
  return sums;
}

std::map<base::ServiceId, ServiceLoad> DemandAggregator::services(const base::DomainId& domain,
                                                                  const DomainSums& own,
                                                                  base::TimePoint now)
{
  std::erase_if(otherDomains_, [now](const auto& entry) { return now >= entry.second.expiresAt; });
  std::map<base::DomainId, const DomainSums*> all;
  for (const auto& [other, received] : otherDomains_) {
    all[other] = &received.sums;
  }
  all[domain] = &own;
  std::map<base::ServiceId, ServiceLoad> services;
  for (const auto& [from, sums] : all) {
    for (const auto& [service, serviceSums] : *sums) {
      addSums(services[service], from, serviceSums);
    }
  }
  // Requests at a domain that hasn't been heard from are left out with it.
  for (const auto& [from, sums] : all) {
    for (const auto& [service, serviceSums] : *sums) {
      for (const auto& [at, inFlight] : serviceSums.inFlight) {
        const auto load = services[service].domains.find(at);
        if (load != services[service].domains.end()) {
          load->second.inFlight += inFlight;
        }
      }
    }
  }
  return services;
}

} // namespace sycamore::dispatch
