#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
void BasicServerLease<Rules>::checkVotes(LeaseActions& actions, base::TimePoint now)
{
  const bool isValid = quorum_.isValid(kind(), now);
  switch (role_) {
    case LeaseRole::Proposing:
      if (isValid && proposedKind_ == LeaseKind::Active) {
        becomeHolder(actions, now);
      } else if (isValid) {
        becomeEvicted(actions, now);
      }
      break;
    case LeaseRole::Evicting:
      if (isValid) {
        becomeEvicted(actions, now);
      } else if (now >= evictionDeadline_) {
        stepDown(actions, now);
      }
      break;
    case LeaseRole::Active:
    case LeaseRole::Evicted:
      if (!isValid) {
        stepDown(actions, now);
      }
      break;
    case LeaseRole::Watching:
      break;
  }
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::becomeHolder(LeaseActions& actions, base::TimePoint now)
{
  role_ = LeaseRole::Active;
  grantExpiry_.reset(previousGrantsExpireAt_);
  acceptedDigest_.reset();
  lastAnswerAt_ = now;
  change_.reset();
  floor_ = {};
  withheldShards_ = {};
  actions.emplace_back(BecameHolder{ term_ });
  actions.emplace_back(SendGrant{ term_ });
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::becomeEvicted(LeaseActions& actions, base::TimePoint now)
{
  if (role_ == LeaseRole::Proposing) {
    change_.reset();
    floor_ = {};
    withheldShards_ = {};
  }
  role_ = LeaseRole::Evicted;
  evictedAt_ = now;
  failoverAt_ = now;
  lastAnswerAt_ = {};
  permitAskedAt_.clear();
  actions.emplace_back(Evicted{ term_ });
  startFailover(actions, now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::stepDown(LeaseActions& actions, base::TimePoint now)
{
  actions.emplace_back(LostLease{ term_ });
  change_.reset();
  updateQuorumVoters();
  quorum_.clear();
  knownHolder_ = self_.vm;
  startWatching(now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::startWatching(base::TimePoint now)
{
  role_ = LeaseRole::Watching;
  proposeAt_ = now + timings_.holderTimeout() + rankDelay();
  nextTickAt_ = proposeAt_;
}

// Returns the delay before this voter proposes itself. The last known holder waits longest.
template<OwnershipRules Rules>
base::Duration BasicServerLease<Rules>::rankDelay() const
{
  int rank = 0;
  for (const base::VmId& voter : row_.voters) {
    if (voter == self_.vm && knownHolder_ != self_.vm) {
      break;
    }
    rank += voter != knownHolder_ ? 1 : 0;
  }
  return rank * timings_.candidateStagger();
}

// Returns the time at which an unresponsive server is evicted. The server keeps its shards while
// any grant may be in force, and has at least the lifetime of a vote and one renewal interval to
// answer a new holder, which covers a stall of 300 ms.
template<OwnershipRules Rules>
base::TimePoint BasicServerLease<Rules>::evictAt() const
{
  const base::TimePoint answerBy =
    lastAnswerAt_ + timings_.voteLifetime() + timings_.renewalInterval();
  return Rules::kWaitForGrantExpiry ? std::max(grantExpiry_.allExpireAt(), answerBy) : answerBy;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::evictIfUnresponsive(base::TimePoint now)
{
  if (role_ != LeaseRole::Active || now < evictAt() || row_.owned.empty()) {
    return;
  }
  withheldShards_ = {};
  if (isWriting() && Rules::kWithholdShardsInDoubt) {
    withheldShards_ = change_->shards;
  }
  if (!isWriting()) {
    change_.reset();
  }
  permitRow_ = row_;
  role_ = LeaseRole::Evicting;
  evictionDeadline_ = now + 2 * timings_.voteLifetime();
  renewAt_ = now;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::renew(LeaseActions& actions, base::TimePoint now)
{
  renewAt_ = now + timings_.renewalInterval();
  requestVotes(actions, now);
  if (role_ != LeaseRole::Evicting) {
    actions.emplace_back(SendGrant{ term_ });
  }
  if (change_ && change_->stage == MapChange::Stage::Releasing) {
    actions.emplace_back(releaseAction());
  }
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::allSuccessorsAskedRecently(base::TimePoint now) const
{
  return std::all_of(
    permitRow_.successors.begin(), permitRow_.successors.end(), [&](const auto& successor) {
      const auto asked = permitAskedAt_.find(successor.first);
      return asked != permitAskedAt_.end() && now < asked->second + timings_.grantLifetime();
    });
}

// Ends the eviction when the server's shards have moved, or when the server answers again while the
// holder of one of its successors no longer requests permits: otherwise two servers that are each
// other's successors would stay evicted. The permits are kept for two grant lifetimes at least,
// until the holders of the successors have the new map.
template<OwnershipRules Rules>
void BasicServerLease<Rules>::reinstateIfDue(LeaseActions& actions, base::TimePoint now)
{
  if (role_ != LeaseRole::Evicted || now < evictedAt_ + 2 * timings_.grantLifetime()) {
    return;
  }
  const bool moved = row_.owned.empty() && !change_;
  const bool answers = lastAnswerAt_ > evictedAt_ && now < lastAnswerAt_ + timings_.grantLifetime();
  if (!moved && (!answers || allSuccessorsAskedRecently(now))) {
    return;
  }
  knownKind_ = LeaseKind::Evicted;
  knownRowGeneration_ = {};
  stepDown(actions, now);
  proposeAt_ = now + timings_.renewalInterval();
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::resign(base::TimePoint now)
{
  LeaseActions actions;
  if (!isHeld(now)) {
    return actions;
  }
  requestVotes(actions, now, true);
  stepDown(actions, now);
  proposeAt_ += 2 * timings_.voteLifetime();
  return actions;
}

} // namespace sycamore::ownership
