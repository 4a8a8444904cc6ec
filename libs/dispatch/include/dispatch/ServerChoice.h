#pragma once

#include <dispatch/DomainOverflow.h>
#include <dispatch/ServerDecision.h>
#include <dispatch/ServerSampling.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sycamore::dispatch {

// The servers among which one is chosen for a request, by index. Figures are asked for only where
// the choice needs them, since a service may have hundreds of servers.
template<typename Servers>
concept CandidateServers = requires(Servers& servers, std::size_t index)
{
  {
    servers.count()
    } -> std::convertible_to<std::size_t>;
  {
    servers.state(index)
    } -> std::same_as<ServerState>;
  {
    servers.domainRank(index)
    } -> std::same_as<DomainRank>;
  // See serverAffinity().
  {
    servers.affinity(index)
    } -> std::same_as<std::uint64_t>;
  // Extra expected latency up to which the preferred domain is kept to, as a multiple of the
  // processing time.
  {
    servers.domainPenalty()
    } -> std::same_as<double>;
  // Time left of a pause.
  {
    servers.pauseLeft(index)
    } -> std::same_as<base::Duration>;
  {
    servers.estimate(index)
    } -> std::same_as<ServerEstimate>;
  // Admits the request to the server, which may use up a permit or a part of its cold start's rate.
  {
    servers.tryAdmit(index, ServerEstimate{})
    } -> std::same_as<Admission>;
};

// Extra expected latency up to which a server with an idle connection is preferred to one without,
// as a multiple of the processing time. A new connection costs the server time and counts against
// its maximum.
inline constexpr double kNewConnectionPenalty = 0.15;

// Chooses the server for one request of a service without keys: the one with the least expected
// latency, with a preference for one failure domain, see DomainOverflow.
template<CandidateServers Servers, std::uniform_random_bit_generator Generator>
class ServerChoice
{
public:
  ServerChoice(Servers& servers, std::size_t entryVms, Generator& generator)
    : servers_(servers)
    , entryVms_(entryVms)
    , generator_(generator)
  {
  }

  ServerDecision choose()
  {
    if (servers_.count() == 0) {
      return { DecisionReason::NoServer, {}, {}, {}, false };
    }
    groupUsable();
    if (preferred_.empty() && spare_.empty()) {
      spare_.swap(lastResort_);
    }
    // A few servers of the preferred domain and a few others are compared first. The rest is
    // considered only if none of these can take the request.
    Indices rest = split(preferred_);
    const Indices spareRest = split(spare_);
    preferred_.insert(preferred_.end(), spare_.begin(), spare_.end());
    rest.insert(rest.end(), spareRest.begin(), spareRest.end());
    return chooseInTurn({ &preferred_, &rest });
  }

private:
  using Indices = std::vector<std::size_t>;

  struct Ranked
  {
    std::size_t index = 0;
    ServerEstimate estimate;
    base::Duration cost{};
  };

  // Groups the usable servers by domain, and finds the paused one whose pause ends first.
  void groupUsable()
  {
    for (std::size_t index = 0; index < servers_.count(); ++index) {
      const ServerState state = servers_.state(index);
      if (state == ServerState::Usable) {
        groupOf(servers_.domainRank(index)).push_back(index);
      } else if (state == ServerState::Paused) {
        const bool endsFirst = !paused_ || servers_.pauseLeft(index) < servers_.pauseLeft(*paused_);
        paused_ = endsFirst ? index : *paused_;
      }
    }
  }

  Indices& groupOf(DomainRank rank)
  {
    switch (rank) {
      case DomainRank::Preferred:
        return preferred_;
      case DomainRank::Spare:
        return spare_;
      case DomainRank::LastResort:
        break;
    }
    return lastResort_;
  }

  // Leaves the servers that are compared first, and returns the others.
  Indices split(Indices& indices)
  {
    const std::size_t compared = comparedServers(indices.size(), entryVms_);
    comparesAll_ = comparesAll_ && compared == indices.size();
    return splitByAffinity(indices, compared, generator_, [this](std::size_t index) {
      return servers_.affinity(index);
    });
  }

  // Considers each group only if none of the groups before has a server for the request.
  ServerDecision chooseInTurn(std::initializer_list<const Indices*> groups)
  {
    std::optional<ServerDecision> busy;
    std::optional<ServerDecision> withoutPermit;
    for (const Indices* group : groups) {
      const ServerDecision decision = chooseAmong(*group);
      if (decision.reason == DecisionReason::Chosen) {
        return decision;
      }
      if (decision.reason == DecisionReason::AtRequestLimit) {
        withoutPermit = withoutPermit && withoutPermit->awaitsPermit ? withoutPermit : decision;
      } else if (decision.reason == DecisionReason::NoRoom &&
                 (!busy || decision.retryAfter < busy->retryAfter)) {
        busy = decision;
      }
    }
    if (withoutPermit && (withoutPermit->awaitsPermit || !busy)) {
      return *withoutPermit;
    }
    if (busy) {
      return *busy;
    }
    if (paused_) {
      return { DecisionReason::Paused, paused_, {}, servers_.pauseLeft(*paused_), false };
    }
    return {};
  }

  // Chooses the server with the lowest cost that has room. Without one, the decision names the
  // server that decided, or none if all are cold and at their limit.
  ServerDecision chooseAmong(const Indices& group)
  {
    const std::vector<Ranked> ranked = rank(group);
    std::optional<base::Duration> retryAfter;
    std::optional<ServerDecision> withoutPermit;
    for (const Ranked& server : ranked) {
      const Admission admission = servers_.tryAdmit(server.index, server.estimate);
      switch (admission.verdict) {
        case AdmissionVerdict::Admitted:
          return { DecisionReason::Chosen, server.index, server.estimate, {}, false };
        case AdmissionVerdict::NoRoom:
          retryAfter =
            retryAfter ? std::min(*retryAfter, admission.retryAfter) : admission.retryAfter;
          break;
        case AdmissionVerdict::AtRequestLimit:
        case AdmissionVerdict::AwaitsPermit: {
          const bool awaitsPermit = admission.verdict == AdmissionVerdict::AwaitsPermit;
          if (!withoutPermit || (awaitsPermit && !withoutPermit->awaitsPermit)) {
            withoutPermit = {
              DecisionReason::AtRequestLimit, server.index, server.estimate, {}, awaitsPermit
            };
          }
          break;
        }
        case AdmissionVerdict::AtColdStartRate:
          break;
      }
    }
    if (withoutPermit && (withoutPermit->awaitsPermit || !retryAfter)) {
      return *withoutPermit;
    }
    if (!retryAfter) {
      return {};
    }
    const Ranked& best = ranked.front();
    return { DecisionReason::NoRoom, best.index, best.estimate, *retryAfter, false };
  }

  // Returns the servers by increasing cost: expected latency and what is to be avoided.
  std::vector<Ranked> rank(const Indices& group)
  {
    std::vector<Ranked> ranked;
    ranked.reserve(group.size());
    for (const std::size_t index : group) {
      const ServerEstimate estimate = servers_.estimate(index);
      const bool opensConnection = !comparesAll_ && !estimate.hasIdleConnection;
      const bool isPreferred = servers_.domainRank(index) == DomainRank::Preferred;
      const double penalty = (isPreferred ? 0 : servers_.domainPenalty()) +
                             (opensConnection ? kNewConnectionPenalty : 0) + spread_(generator_);
      const auto cost =
        estimate.latency + std::chrono::duration_cast<base::Duration>(estimate.work * penalty);
      // The VMs of the other domains try the servers there.
      const bool isTrial = estimate.isSameDomain && estimate.isTrialDue;
      ranked.push_back({ index, estimate, isTrial ? base::Duration::zero() : cost });
    }
    std::ranges::sort(ranked, {}, &Ranked::cost);
    return ranked;
  }

  Servers& servers_;
  std::size_t entryVms_;
  Generator& generator_;
  // Spreads the requests among equal servers, as a multiple of the processing time.
  std::uniform_real_distribution<double> spread_{ 0, 0.05 };
  // Whether all usable servers are compared, as by few VMs, which use each server often enough to
  // keep their connections anyway.
  bool comparesAll_ = true;
  // Usable servers by the rank of their domain.
  Indices preferred_;
  Indices spare_;
  Indices lastResort_;
  // The paused server whose pause ends first.
  std::optional<std::size_t> paused_;
};

// Decides whether the owner of a key, the only candidate, gets a request.
template<CandidateServers Servers>
ServerDecision chooseOwner(Servers& servers)
{
  constexpr std::size_t kOwner = 0;
  if (servers.count() == 0) {
    return { DecisionReason::NoServer, {}, {}, {}, false };
  }
  switch (servers.state(kOwner)) {
    case ServerState::Unavailable:
      return { DecisionReason::NoServer, kOwner, {}, {}, false };
    case ServerState::Paused:
      return { DecisionReason::Paused, kOwner, {}, servers.pauseLeft(kOwner), false };
    case ServerState::Suspect:
      return { DecisionReason::NoneUsable, kOwner, {}, {}, false };
    case ServerState::Unconnected:
      return { DecisionReason::Unconnected, kOwner, {}, {}, false };
    // The owner is the only candidate, so that a repeat goes to it again.
    case ServerState::Tried:
    case ServerState::Usable:
      break;
  }
  const ServerEstimate estimate = servers.estimate(kOwner);
  const Admission admission = servers.tryAdmit(kOwner, estimate);
  switch (admission.verdict) {
    case AdmissionVerdict::Admitted:
      return { DecisionReason::Chosen, kOwner, estimate, {}, false };
    case AdmissionVerdict::NoRoom:
      return { DecisionReason::NoRoom, kOwner, estimate, admission.retryAfter, false };
    case AdmissionVerdict::AtRequestLimit:
      return { DecisionReason::AtRequestLimit, kOwner, estimate, {}, false };
    case AdmissionVerdict::AwaitsPermit:
      return { DecisionReason::AtRequestLimit, kOwner, estimate, {}, true };
    case AdmissionVerdict::AtColdStartRate:
      return { DecisionReason::AtColdStartRate, kOwner, estimate, {}, false };
  }
  return {};
}

} // namespace sycamore::dispatch
