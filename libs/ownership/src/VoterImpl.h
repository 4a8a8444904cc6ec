#pragma once

#include <ownership/Voter.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
BasicVoter<Rules>::BasicVoter(HolderId self, LeaseTimings timings, base::TimePoint startedAt)
  : self_(std::move(self))
  , timings_(timings)
  , startedAt_(startedAt)
{
}

template<OwnershipRules Rules>
VoterRecord& BasicVoter<Rules>::recordOf(const base::ServerId& server)
{
  const auto [entry, added] = records_.try_emplace(server);
  if (added) {
    VoterRecord& fresh = entry->second;
    if (Rules::kAbstainAfterRestart) {
      // A vote of the previous incarnation may be valid for this long.
      fresh.voteValidUntil = startedAt_ + timings_.driftSafeWait(timings_.voteLifetime());
    } else {
      fresh.recovered = true;
    }
    fresh.previousVoteValidUntil = fresh.voteValidUntil;
  }
  return entry->second;
}

template<OwnershipRules Rules>
bool BasicVoter<Rules>::isAbstaining(base::TimePoint now) const
{
  const base::Duration span =
    timings_.driftSafeWait(timings_.voteLifetime() + timings_.grantLifetime());
  return Rules::kAbstainAfterRestart && now < startedAt_ + span;
}

template<OwnershipRules Rules>
VoteReply BasicVoter<Rules>::vote(const VoteRequest& request, base::TimePoint now)
{
  VoterRecord& known = recordOf(request.server);
  VoteReply reply;
  reply.server = request.server;
  reply.holder = request.holder;
  reply.term = request.term;
  reply.kind = request.kind;
  reply.askedAt = request.askedAt;
  reply.voter = self_.vm;
  reply.voterIncarnation = self_.incarnation;

  const bool proven = request.proof && request.proof->voterIncarnation == self_.incarnation &&
                      request.generation >= request.proof->generation;
  if (isAbstaining(now)) {
    reply.answer = VoteAnswer::Abstaining;
  } else if (!known.recovered && !proven) {
    reply.answer = VoteAnswer::Recovering;
    startRecovery(known, request);
  } else {
    if (!known.recovered) {
      known.recovered = true;
      known.floor = std::max(known.floor, request.proof->generation);
    }
    reply.answer = evaluate(known, request, now);
  }

  if (reply.answer == VoteAnswer::Granted) {
    recordVote(known, request, now);
    reply.remaining = known.previousVoteValidUntil - now;
  } else if (reply.answer == VoteAnswer::MustWait) {
    reply.remaining = acceptableAt(known, request) - now;
  }
  reply.highestTerm = known.term;
  reply.currentKind = known.kind;
  reply.currentRowGeneration = known.rowGeneration;
  reply.floor = known.floor;
  return reply;
}

template<OwnershipRules Rules>
VoteAnswer BasicVoter<Rules>::evaluate(const VoterRecord& known,
                                       const VoteRequest& request,
                                       base::TimePoint now) const
{
  if (request.term == known.term && request.holder == known.holder) {
    const bool wasEvicted = known.kind == LeaseKind::Evicted;
    const bool changesBack =
      wasEvicted && (request.kind != known.kind || request.rowGeneration != known.rowGeneration);
    return changesBack ? VoteAnswer::StaleTerm : VoteAnswer::Granted;
  }
  if (request.term <= known.term) {
    return VoteAnswer::StaleTerm;
  }
  if (request.generation < known.floor) {
    return VoteAnswer::StaleMap;
  }
  return now < acceptableAt(known, request) ? VoteAnswer::MustWait : VoteAnswer::Granted;
}

// Returns the time from which a new term may be accepted.
template<OwnershipRules Rules>
base::TimePoint BasicVoter<Rules>::acceptableAt(const VoterRecord& known,
                                                const VoteRequest& request) const
{
  const bool samePermits =
    request.kind == LeaseKind::Active || request.rowGeneration == known.rowGeneration;
  const bool sameExecutors = request.kind == known.kind && samePermits;
  const bool sameHolder = request.holder == known.holder;
  const bool mustExpire = !sameExecutors || (!request.checksTokens && !sameHolder);
  if (mustExpire && Rules::kWaitForGrantExpiry) {
    return known.voteValidUntil + timings_.driftSafeWait(timings_.grantLifetime());
  }
  // A holder that has not resigned keeps its lease while the vote is valid: otherwise a voter that
  // the holder can't reach, but the other voters can, would take over the lease repeatedly.
  return known.holderResigned || sameHolder ? base::TimePoint{} : known.voteValidUntil;
}

template<OwnershipRules Rules>
void BasicVoter<Rules>::recordVote(VoterRecord& known,
                                   const VoteRequest& request,
                                   base::TimePoint now)
{
  if (request.term > known.term) {
    known.previousVoteValidUntil = known.voteValidUntil;
    known.holderResigned = false;
  }
  known.term = request.term;
  known.holder = request.holder;
  known.kind = request.kind;
  known.rowGeneration = request.rowGeneration;
  known.floor = std::max(known.floor, request.floor);
  if (request.resign) {
    known.holderResigned = true;
    return;
  }
  known.voteValidUntil =
    std::max(known.voteValidUntil, now + timings_.driftSafeWait(timings_.voteLifetime()));
}

template<OwnershipRules Rules>
void BasicVoter<Rules>::startRecovery(VoterRecord& known, const VoteRequest& request)
{
  const bool inProgress = !known.peers.empty() && known.answeredPeers.size() < known.peers.size();
  const bool stale = request.generation < known.floor;
  if (request.peers.empty() || stale ||
      (inProgress && request.generation <= known.recoveryGeneration)) {
    return;
  }
  ++known.recoveryRound;
  known.recoveryGeneration = request.generation;
  known.peers = request.peers;
  known.answeredPeers.clear();
  known.nextStateRequestAt = {};
}

template<OwnershipRules Rules>
std::vector<VoterStateRequest> BasicVoter<Rules>::stateRequests(base::TimePoint now)
{
  std::vector<VoterStateRequest> result;
  if (isAbstaining(now)) {
    return result;
  }
  for (auto& [server, known] : records_) {
    if (known.recovered || known.peers.empty() || now < known.nextStateRequestAt) {
      continue;
    }
    known.nextStateRequestAt = now + timings_.renewalInterval();
    for (const base::VmId& peer : known.peers) {
      if (std::find(known.answeredPeers.begin(), known.answeredPeers.end(), peer) ==
          known.answeredPeers.end()) {
        result.push_back({ server, peer, self_.vm, self_.incarnation, known.recoveryRound });
      }
    }
  }
  return result;
}

template<OwnershipRules Rules>
VoterStateReply BasicVoter<Rules>::answer(const VoterStateRequest& request) const
{
  VoterStateReply reply;
  reply.server = request.server;
  reply.from = self_.vm;
  reply.to = request.from;
  reply.toIncarnation = request.fromIncarnation;
  reply.round = request.round;
  const auto entry = records_.find(request.server);
  if (entry != records_.end() && entry->second.recovered) {
    const VoterRecord& known = entry->second;
    reply.known = true;
    reply.term = known.term;
    reply.holder = known.holder;
    reply.kind = known.kind;
    reply.rowGeneration = known.rowGeneration;
    reply.floor = known.floor;
  }
  return reply;
}

template<OwnershipRules Rules>
void BasicVoter<Rules>::onStateReply(const VoterStateReply& reply)
{
  const auto entry = records_.find(reply.server);
  if (entry == records_.end() || !reply.known || reply.toIncarnation != self_.incarnation) {
    return;
  }
  VoterRecord& known = entry->second;
  const bool asked =
    std::find(known.peers.begin(), known.peers.end(), reply.from) != known.peers.end();
  const bool repeated =
    std::find(known.answeredPeers.begin(), known.answeredPeers.end(), reply.from) !=
    known.answeredPeers.end();
  if (known.recovered || reply.round != known.recoveryRound || !asked || repeated) {
    return;
  }
  known.answeredPeers.push_back(reply.from);
  known.floor = std::max(known.floor, reply.floor);
  if (reply.term > known.term) {
    known.term = reply.term;
    known.holder = reply.holder;
    known.kind = reply.kind;
    known.rowGeneration = reply.rowGeneration;
  }
  // If a floor is higher than the generation whose voters were asked, these may have been replaced,
  // and the new voters may have more recent state. Recovery then isn't complete.
  known.recovered =
    known.answeredPeers.size() == known.peers.size() && known.floor <= known.recoveryGeneration;
}

template<OwnershipRules Rules>
bool BasicVoter<Rules>::forget(const base::ServerId& server, base::TimePoint now)
{
  const auto entry = records_.find(server);
  if (entry == records_.end()) {
    return true;
  }
  if (now < entry->second.voteValidUntil + timings_.driftSafeWait(timings_.grantLifetime())) {
    return false;
  }
  records_.erase(entry);
  return true;
}

} // namespace sycamore::ownership
