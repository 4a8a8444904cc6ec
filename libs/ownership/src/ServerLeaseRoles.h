#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
void BasicServerLease<Rules>::checkVotes(LeaseActions& actions, base::TimePoint now)
{
  const bool valid = quorum_.valid(kind(), now);
  switch (role_) {
    case LeaseRole::Proposing:
      if (valid && proposedKind_ == LeaseKind::Active) {
        becomeHolder(actions, now);
      } else if (valid) {
        becomeEvicted(actions, now);
      }
      break;
    case LeaseRole::Evicting:
      if (valid) {
        becomeEvicted(actions, now);
      } else if (now >= evictBy_) {
        stepDown(actions, now);
      }
      break;
    case LeaseRole::Active:
    case LeaseRole::Evicted:
      if (!valid) {
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
  grants_.reset(earlierGrantsExpire_);
  acceptedDigest_.reset();
  lastAnswerAt_ = now;
  change_.reset();
  floor_ = {};
  withheld_ = {};
  actions.emplace_back(BecameHolder{ term_ });
  actions.emplace_back(SendGrant{ term_ });
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::becomeEvicted(LeaseActions& actions, base::TimePoint now)
{
  if (role_ == LeaseRole::Proposing) {
    change_.reset();
    floor_ = {};
    withheld_ = {};
  }
  role_ = LeaseRole::Evicted;
  evictedAt_ = now;
  failoverAt_ = now;
  lastAnswerAt_ = {};
  askedForPermit_.clear();
  actions.emplace_back(Evicted{ term_ });
  startFailover(actions, now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::stepDown(LeaseActions& actions, base::TimePoint now)
{
  actions.emplace_back(LostLease{ term_ });
  change_.reset();
  useVoters();
  quorum_.clear();
  knownHolder_ = self_.vm;
  watch(now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::watch(base::TimePoint now)
{
  role_ = LeaseRole::Watching;
  proposeAt_ = now + timings_.holderTimeout() + rankDelay();
  nextTick_ = proposeAt_;
}

// The last known holder proposes after all others.
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

// The server keeps its shards while any grant may be in force, and has this long to answer a new
// holder: a stall of 300 ms plus one renewal.
template<OwnershipRules Rules>
base::TimePoint BasicServerLease<Rules>::evictAt() const
{
  const base::TimePoint answerBy =
    lastAnswerAt_ + timings_.voteLifetime() + timings_.renewalInterval();
  return Rules::kWaitForGrantExpiry ? std::max(grants_.allExpireAt(), answerBy) : answerBy;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::evictIfSilent(base::TimePoint now)
{
  if (role_ != LeaseRole::Active || now < evictAt() || row_.owned.empty()) {
    return;
  }
  withheld_ = {};
  if (writing() && Rules::kWithholdShardsInDoubt) {
    withheld_ = change_->shards;
  }
  if (!writing()) {
    change_.reset();
  }
  permitRow_ = row_;
  role_ = LeaseRole::Evicting;
  evictBy_ = now + 2 * timings_.voteLifetime();
  renewAt_ = now;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::renew(LeaseActions& actions, base::TimePoint now)
{
  renewAt_ = now + timings_.renewalInterval();
  askVotes(actions, now);
  if (role_ != LeaseRole::Evicting) {
    actions.emplace_back(SendGrant{ term_ });
  }
  if (change_ && change_->stage == MapChange::Stage::Releasing) {
    actions.emplace_back(releaseAction());
  }
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::successorsAsk(base::TimePoint now) const
{
  return std::all_of(
    permitRow_.successors.begin(), permitRow_.successors.end(), [&](const auto& successor) {
      const auto asked = askedForPermit_.find(successor.first);
      return asked != askedForPermit_.end() && now < asked->second + timings_.grantLifetime();
    });
}

// An evicted server may serve again when its shards have moved, or when it answers again while a
// successor doesn't: two servers that are each other's successors would else stay evicted. The
// permits stay for a while, until the holders of the successors have the new map.
template<OwnershipRules Rules>
void BasicServerLease<Rules>::reinstateIfDue(LeaseActions& actions, base::TimePoint now)
{
  if (role_ != LeaseRole::Evicted || now < evictedAt_ + 2 * timings_.grantLifetime()) {
    return;
  }
  const bool moved = row_.owned.empty() && !change_;
  const bool answers = lastAnswerAt_ > evictedAt_ && now < lastAnswerAt_ + timings_.grantLifetime();
  if (!moved && (!answers || successorsAsk(now))) {
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
  askVotes(actions, now, true);
  stepDown(actions, now);
  proposeAt_ += 2 * timings_.voteLifetime();
  return actions;
}

} // namespace sycamore::ownership
