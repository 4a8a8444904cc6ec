#include <dispatch/DomainOverflow.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Shares of a domain's capacity at which its demand begins and ends to overflow. Servers that are
// fuller than the first have long queues; the gap keeps the decision from changing with each
// fluctuation of the demand.
constexpr double kBeginFill = 0.95;
constexpr double kEndFill = 0.85;
// Share of its capacity up to which a domain takes the demand of others. The rest is for its own
// bursts.
constexpr double kSpareFill = 0.85;
// Share of its capacity from which on a domain gets no single requests of others either.
constexpr double kFull = 1.0;
// Time for which figures count without an update: several updates have been lost.
constexpr base::Duration kFiguresDuration = base::milliseconds(1000);
// Extra expected latency up to which the preferred domain is kept to, as a multiple of the
// processing time, for requests without a body.
constexpr double kBasePenalty = 1.8;
// Bytes that add the base penalty once more: sending these between domains takes a slow link some
// ten milliseconds.
constexpr double kBytesPerPenalty = 32 * 1024;
// Mean size from which on a service's requests aren't sent away while their own domain takes them
// at all: they would fill the links that all services share.
constexpr double kMaxPlannedBytes = 48 * 1024;
constexpr double kBytesGain = 0.02;

double sum(const std::map<base::DomainId, double>& values)
{
  double total = 0;
  for (const auto& [domain, value] : values) {
    total += value;
  }
  return total;
}

} // namespace

DomainOverflow::DomainOverflow(base::DomainId ownDomain)
  : ownDomain_(std::move(ownDomain))
{
}

void DomainOverflow::onLoad(const std::map<base::DomainId, DomainLoad>& domains,
                            base::TimePoint now)
{
  sharesSent_.clear();
  spareDomains_.clear();
  const auto own = domains.find(ownDomain_);
  if (own == domains.end()) {
    expiresAt_ = {};
    return;
  }
  expiresAt_ = now + kFiguresDuration;
  double wanted = 0;
  std::map<base::DomainId, double> spare;
  for (const auto& [domain, load] : domains) {
    const double capacity = load.capacityPerSecond;
    const bool wasOverflowing = overflowing_.contains(domain);
    if (load.offeredPerSecond > capacity * (wasOverflowing ? kEndFill : kBeginFill)) {
      overflowing_.insert(domain);
      wanted += load.offeredPerSecond - capacity * kEndFill;
    } else {
      overflowing_.erase(domain);
      spare[domain] = std::max(0.0, capacity * kSpareFill - load.offeredPerSecond);
    }
    if (domain != ownDomain_ && load.offeredPerSecond < capacity * kFull) {
      spareDomains_.insert(domain);
    }
  }
  const double totalSpare = sum(spare);
  if (!overflowing_.contains(ownDomain_) || totalSpare <= 0) {
    return;
  }
  // What all domains have to spare is divided among those that want it by what they want.
  const double excess = own->second.offeredPerSecond - own->second.capacityPerSecond * kEndFill;
  const double sent = excess * std::min(1.0, totalSpare / wanted);
  for (const auto& [domain, room] : spare) {
    if (room > 0) {
      sharesSent_[domain] = sent / own->second.offeredPerSecond * room / totalSpare;
    }
  }
}

void DomainOverflow::onExchange(std::uint64_t bytes)
{
  meanBytes_ += kBytesGain * (static_cast<double>(bytes) - meanBytes_);
}

const base::DomainId& DomainOverflow::preferredDomain(double draw, base::TimePoint now) const
{
  if (shareSentAway(now) > 0) {
    for (const auto& [domain, share] : sharesSent_) {
      if (draw < share) {
        return domain;
      }
      draw -= share;
    }
  }
  return ownDomain_;
}

DomainRank DomainOverflow::rank(const base::DomainId& domain,
                                const base::DomainId& preferred,
                                base::TimePoint now) const
{
  if (domain == preferred) {
    return DomainRank::Preferred;
  }
  const bool mayTake = !hasFigures(now) || domain == ownDomain_ || spareDomains_.contains(domain);
  return mayTake ? DomainRank::Spare : DomainRank::LastResort;
}

double DomainOverflow::penalty(base::TimePoint now) const
{
  return kBasePenalty * (hasFigures(now) ? 1 + meanBytes_ / kBytesPerPenalty : 1);
}

double DomainOverflow::shareSentAway(base::TimePoint now) const
{
  return hasFigures(now) && meanBytes_ < kMaxPlannedBytes ? sum(sharesSent_) : 0;
}

} // namespace sycamore::dispatch
