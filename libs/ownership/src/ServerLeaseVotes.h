#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>
#include <type_traits>

namespace sycamore::ownership {

// Requests votes for a new term, or again for the term already proposed. The vote of this VM is
// requested only after another voter has granted its vote: a VM that is cut off from the others
// must not raise the term at its own voter alone.
template<OwnershipRules Rules>
void BasicServerLease<Rules>::propose(LeaseActions& actions, base::TimePoint now)
{
  const bool proposing = role_ == LeaseRole::Proposing;
  role_ = LeaseRole::Proposing;
  renewAt_ = now + timings_.renewalInterval();
  if (row_.generation < knownFloor_ || now >= proposingSince_ + 2 * timings_.voteLifetime()) {
    requestNewGeneration(actions, now);
  }
  const bool evicted = knownKind_ == LeaseKind::Evicted &&
                       knownRowGeneration_ == row_.rowGeneration && !row_.owned.empty();
  const LeaseKind wanted = evicted ? LeaseKind::Evicted : LeaseKind::Active;
  if (!proposing || needsNewTerm(wanted)) {
    highestTerm_ = std::max(highestTerm_, term_);
    term_ = base::Term(highestTerm_.value() + 1);
    proposedKind_ = wanted;
    previousGrantsExpireAt_ = {};
    quorum_.clear();
  }
  permitRow_ = row_;
  requestVotes(actions, now);
}

// Returns whether a proposal of this kind needs a new term: a term has only one kind and, if that
// is Evicted, only one row generation.
template<OwnershipRules Rules>
bool BasicServerLease<Rules>::needsNewTerm(LeaseKind wanted) const
{
  return term_ <= highestTerm_ || wanted != proposedKind_ ||
         (wanted == LeaseKind::Evicted && permitRow_.rowGeneration != row_.rowGeneration);
}

template<OwnershipRules Rules>
std::vector<base::VmId> BasicServerLease<Rules>::votersToAsk() const
{
  std::vector<base::VmId> result = row_.voters;
  if (change_ && change_->kind == ChangeKind::Voters) {
    for (const base::VmId& voter : change_->voters) {
      if (std::find(result.begin(), result.end(), voter) == result.end()) {
        result.push_back(voter);
      }
    }
  }
  return result;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::requestVotes(LeaseActions& actions, base::TimePoint now, bool resign)
{
  const std::vector<base::VmId> voters = votersToAsk();
  const bool skipOwnVote = role_ == LeaseRole::Proposing && voters.size() > 1;
  for (const base::VmId& voter : voters) {
    if (skipOwnVote && voter == self_.vm) {
      continue;
    }
    SendVote action{ voter, voteRequest(voter, now) };
    action.request.resign = resign;
    actions.emplace_back(std::move(action));
  }
}

template<OwnershipRules Rules>
VoteRequest BasicServerLease<Rules>::voteRequest(const base::VmId& voter, base::TimePoint now) const
{
  VoteRequest request;
  request.server = row_.server;
  request.holder = self_;
  request.term = term_;
  request.kind = kind();
  const ServerRow& used = request.kind == LeaseKind::Evicted ? permitRow_ : row_;
  request.generation = used.generation;
  request.rowGeneration = used.rowGeneration;
  request.checksTokens = row_.checksTokens;
  request.floor = isHeld(now) ? floor_ : base::Generation();
  if (std::find(row_.voters.begin(), row_.voters.end(), voter) != row_.voters.end()) {
    std::copy_if(row_.voters.begin(),
                 row_.voters.end(),
                 std::back_inserter(request.peers),
                 [&](const base::VmId& peer) { return peer != voter; });
  }
  request.proof = proofFor(voter, now);
  request.askedAt = now;
  return request;
}

template<OwnershipRules Rules>
std::optional<FloorProof> BasicServerLease<Rules>::proofFor(const base::VmId& voter,
                                                            base::TimePoint now) const
{
  const auto incarnation = recoveringVoters_.find(voter);
  if (incarnation == recoveringVoters_.end()) {
    return std::nullopt;
  }
  const bool inForce =
    std::find(row_.voters.begin(), row_.voters.end(), voter) != row_.voters.end();
  if (!inForce) {
    // Only the holder replaces voters, so no map in force depends on this one yet.
    return isHeld(now) ? std::optional(FloorProof{ incarnation->second, row_.generation })
                       : std::nullopt;
  }
  const auto provable = provableVoters_.find(voter);
  if (provable == provableVoters_.end() || provable->second != incarnation->second) {
    return std::nullopt;
  }
  return FloorProof{ incarnation->second, provenGeneration_ };
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::recordHighestTerm(const VoteReply& reply)
{
  knownFloor_ = std::max(knownFloor_, reply.floor);
  if (reply.highestTerm < highestTerm_ || reply.highestTerm == term_) {
    return;
  }
  highestTerm_ = reply.highestTerm;
  knownKind_ = reply.currentKind;
  knownRowGeneration_ = reply.currentRowGeneration;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::recordPreviousVotes(const VoteReply& reply, base::TimePoint now)
{
  const bool lapsed = reply.remaining < base::Duration{};
  const base::Duration remaining =
    lapsed ? -timings_.minElapsed(-reply.remaining) : timings_.driftSafeWait(reply.remaining);
  previousGrantsExpireAt_ = std::max(
    previousGrantsExpireAt_, now + remaining + timings_.driftSafeWait(timings_.grantLifetime()));
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::onGranted(const VoteReply& reply,
                                        LeaseActions& actions,
                                        base::TimePoint now)
{
  recoveringVoters_.erase(reply.voter);
  quorum_.add(reply.voter, { reply.kind, reply.floor, reply.askedAt + timings_.voteLifetime() });
  if (role_ == LeaseRole::Proposing) {
    recordPreviousVotes(reply, now);
    if (reply.voter != self_.vm) {
      actions.emplace_back(SendVote{ self_.vm, voteRequest(self_.vm, now) });
    }
  }
  checkVotes(actions, now);
  continueChange(actions, now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::onRefused(const VoteReply& reply,
                                        LeaseActions& actions,
                                        base::TimePoint now)
{
  const bool proposing = role_ == LeaseRole::Proposing;
  switch (reply.answer) {
    case VoteAnswer::Recovering:
      recoveringVoters_[reply.voter] = reply.voterIncarnation;
      if (proposing && recoveringVoters_.size() >= 2) {
        requestNewGeneration(actions, now);
      }
      break;
    case VoteAnswer::StaleTerm:
      quorum_.remove(reply.voter);
      if (proposing) {
        highestTerm_ = std::max(highestTerm_, term_);
        knownHolder_ = {};
        startWatching(now);
      }
      break;
    case VoteAnswer::StaleMap:
      if (proposing && row_.generation < reply.floor) {
        requestNewGeneration(actions, now);
      }
      break;
    case VoteAnswer::MustWait:
      if (proposing) {
        const base::Duration wait =
          std::max<base::Duration>(reply.remaining, base::milliseconds(1));
        renewAt_ = std::min(renewAt_, now + wait);
      }
      break;
    default:
      break;
  }
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::requestNewGeneration(LeaseActions& actions, base::TimePoint now)
{
  if (now < nextAdvanceAt_) {
    return;
  }
  nextAdvanceAt_ = now + timings_.voteLifetime();
  // The entry of the first request for this generation is kept, since the write may have begun
  // then.
  pendingAdvances_.try_emplace(row_.generation, recoveringVoters_);
  actions.emplace_back(AdvanceGeneration{ row_.generation });
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::onGenerationAdvanced(base::Generation generation, base::TimePoint now)
{
  const auto advance = pendingAdvances_.find(base::Generation(generation.value() - 1));
  if (advance == pendingAdvances_.end() || generation < provenGeneration_) {
    return;
  }
  provenGeneration_ = generation;
  provableVoters_ = advance->second;
  pendingAdvances_.erase(pendingAdvances_.begin(), std::next(advance));
  renewAt_ = std::min(renewAt_, now);
}

} // namespace sycamore::ownership
