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
      // A vote of the run before this one may last as long.
      fresh.until = startedAt_ + timings_.driftSafeWait(timings_.voteLifetime());
    } else {
      fresh.learned = true;
    }
    fresh.earlierUntil = fresh.until;
  }
  return entry->second;
}

template<OwnershipRules Rules>
bool BasicVoter<Rules>::abstaining(base::TimePoint now) const
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
  if (abstaining(now)) {
    reply.answer = VoteAnswer::Abstaining;
  } else if (!known.learned && !proven) {
    reply.answer = VoteAnswer::Recovering;
    startLearning(known, request);
  } else {
    if (!known.learned) {
      known.learned = true;
      known.floor = std::max(known.floor, request.proof->generation);
    }
    reply.answer = judge(known, request, now);
  }

  if (reply.answer == VoteAnswer::Granted) {
    record(known, request, now);
    reply.remaining = known.earlierUntil - now;
  } else if (reply.answer == VoteAnswer::MustWait) {
    reply.remaining = earliest(known, request) - now;
  }
  reply.highestTerm = known.term;
  reply.currentKind = known.kind;
  reply.currentRowGeneration = known.rowGeneration;
  reply.floor = known.floor;
  return reply;
}

template<OwnershipRules Rules>
VoteAnswer BasicVoter<Rules>::judge(const VoterRecord& known,
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
  return now < earliest(known, request) ? VoteAnswer::MustWait : VoteAnswer::Granted;
}

// When a new term may be accepted.
template<OwnershipRules Rules>
base::TimePoint BasicVoter<Rules>::earliest(const VoterRecord& known,
                                            const VoteRequest& request) const
{
  const bool samePermits =
    request.kind == LeaseKind::Active || request.rowGeneration == known.rowGeneration;
  const bool sameExecutors = request.kind == known.kind && samePermits;
  const bool sameRun = request.holder == known.holder;
  const bool mustExpire = !sameExecutors || (!request.checksTokens && !sameRun);
  if (mustExpire && Rules::kWaitForGrantExpiry) {
    return known.until + timings_.driftSafeWait(timings_.grantLifetime());
  }
  // A live holder keeps its tenancy: otherwise a voter that hears the others but not the holder
  // would take it away again and again.
  return known.resigned || sameRun ? base::TimePoint{} : known.until;
}

template<OwnershipRules Rules>
void BasicVoter<Rules>::record(VoterRecord& known, const VoteRequest& request, base::TimePoint now)
{
  if (request.term > known.term) {
    known.earlierUntil = known.until;
    known.resigned = false;
  }
  known.term = request.term;
  known.holder = request.holder;
  known.kind = request.kind;
  known.rowGeneration = request.rowGeneration;
  known.floor = std::max(known.floor, request.floor);
  if (request.resign) {
    known.resigned = true;
    return;
  }
  known.until = std::max(known.until, now + timings_.driftSafeWait(timings_.voteLifetime()));
}

template<OwnershipRules Rules>
void BasicVoter<Rules>::startLearning(VoterRecord& known, const VoteRequest& request)
{
  const bool running = !known.peers.empty() && known.answered.size() < known.peers.size();
  const bool stale = request.generation < known.floor;
  if (request.peers.empty() || stale || (running && request.generation <= known.wantedGeneration)) {
    return;
  }
  ++known.learnRound;
  known.wantedGeneration = request.generation;
  known.peers = request.peers;
  known.answered.clear();
  known.nextLearn = {};
}

template<OwnershipRules Rules>
std::vector<VoterStateRequest> BasicVoter<Rules>::stateRequests(base::TimePoint now)
{
  std::vector<VoterStateRequest> result;
  if (abstaining(now)) {
    return result;
  }
  for (auto& [server, known] : records_) {
    if (known.learned || known.peers.empty() || now < known.nextLearn) {
      continue;
    }
    known.nextLearn = now + timings_.renewalInterval();
    for (const base::VmId& peer : known.peers) {
      if (std::find(known.answered.begin(), known.answered.end(), peer) == known.answered.end()) {
        result.push_back({ server, peer, self_.vm, self_.incarnation, known.learnRound });
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
  if (entry != records_.end() && entry->second.learned) {
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
    std::find(known.answered.begin(), known.answered.end(), reply.from) != known.answered.end();
  if (known.learned || reply.round != known.learnRound || !asked || repeated) {
    return;
  }
  known.answered.push_back(reply.from);
  known.floor = std::max(known.floor, reply.floor);
  if (reply.term > known.term) {
    known.term = reply.term;
    known.holder = reply.holder;
    known.kind = reply.kind;
    known.rowGeneration = reply.rowGeneration;
  }
  // A higher floor than the generation whose voters were asked: these may have been replaced, so
  // that others know more.
  known.learned =
    known.answered.size() == known.peers.size() && known.floor <= known.wantedGeneration;
}

template<OwnershipRules Rules>
bool BasicVoter<Rules>::forget(const base::ServerId& server, base::TimePoint now)
{
  const auto entry = records_.find(server);
  if (entry == records_.end()) {
    return true;
  }
  if (now < entry->second.until + timings_.driftSafeWait(timings_.grantLifetime())) {
    return false;
  }
  records_.erase(entry);
  return true;
}

} // namespace sycamore::ownership
