#pragma once

#include <ownership/Tenancy.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
void BasicTenancy<Rules>::checkVotes(TenancyActions& actions, base::TimePoint now)
{
  const bool valid = quorum_.valid(kind(), now);
  switch (role_) {
    case TenancyRole::Proposing:
      if (valid && proposedKind_ == TenancyKind::Active) {
        becomeHolder(actions, now);
      } else if (valid) {
        becomeEvicted(actions, now);
      }
      break;
    case TenancyRole::Evicting:
      if (valid) {
        becomeEvicted(actions, now);
      } else if (now >= evictBy_) {
        stepDown(actions, now);
      }
      break;
    case TenancyRole::Active:
    case TenancyRole::Evicted:
      if (!valid) {
        stepDown(actions, now);
      }
      break;
    case TenancyRole::Watching:
      break;
  }
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::becomeHolder(TenancyActions& actions, base::TimePoint now)
{
  role_ = TenancyRole::Active;
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
void BasicTenancy<Rules>::becomeEvicted(TenancyActions& actions, base::TimePoint now)
{
  if (role_ == TenancyRole::Proposing) {
    change_.reset();
    floor_ = {};
    withheld_ = {};
  }
  role_ = TenancyRole::Evicted;
  evictedAt_ = now;
  failoverAt_ = now;
  lastAnswerAt_ = {};
  askedForPermit_.clear();
  actions.emplace_back(Evicted{ term_ });
  startFailover(actions, now);
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::stepDown(TenancyActions& actions, base::TimePoint now)
{
  actions.emplace_back(LostTenancy{ term_ });
  change_.reset();
  useVoters();
  quorum_.clear();
  knownHolder_ = self_.vm;
  watch(now);
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::watch(base::TimePoint now)
{
  role_ = TenancyRole::Watching;
  proposeAt_ = now + timings_.holderSilence() + rankDelay();
  nextTick_ = proposeAt_;
}

// The last known holder proposes after all others.
template<OwnershipRules Rules>
base::Duration BasicTenancy<Rules>::rankDelay() const
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
base::TimePoint BasicTenancy<Rules>::evictAt() const
{
  const base::TimePoint answerBy =
    lastAnswerAt_ + timings_.voteLifetime() + timings_.renewalInterval();
  return Rules::kWaitOutGrants ? std::max(grants_.allExpireAt(), answerBy) : answerBy;
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::evictIfSilent(base::TimePoint now)
{
  if (role_ != TenancyRole::Active || now < evictAt() || row_.owned.empty()) {
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
  role_ = TenancyRole::Evicting;
  evictBy_ = now + 2 * timings_.voteLifetime();
  renewAt_ = now;
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::renew(TenancyActions& actions, base::TimePoint now)
{
  renewAt_ = now + timings_.renewalInterval();
  askVotes(actions, now);
  if (role_ != TenancyRole::Evicting) {
    actions.emplace_back(SendGrant{ term_ });
  }
  if (change_ && change_->stage == MapChange::Stage::Releasing) {
    actions.emplace_back(releaseAction());
  }
}

template<OwnershipRules Rules>
bool BasicTenancy<Rules>::successorsAsk(base::TimePoint now) const
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
void BasicTenancy<Rules>::reinstateIfDue(TenancyActions& actions, base::TimePoint now)
{
  if (role_ != TenancyRole::Evicted || now < evictedAt_ + 2 * timings_.grantLifetime()) {
    return;
  }
  const bool moved = row_.owned.empty() && !change_;
  const bool answers = lastAnswerAt_ > evictedAt_ && now < lastAnswerAt_ + timings_.grantLifetime();
  if (!moved && (!answers || successorsAsk(now))) {
    return;
  }
  knownKind_ = TenancyKind::Evicted;
  knownRowGeneration_ = {};
  stepDown(actions, now);
  proposeAt_ = now + timings_.renewalInterval();
}

template<OwnershipRules Rules>
TenancyActions BasicTenancy<Rules>::resign(base::TimePoint now)
{
  TenancyActions actions;
  if (!holds(now)) {
    return actions;
  }
  askVotes(actions, now, true);
  stepDown(actions, now);
  proposeAt_ += 2 * timings_.voteLifetime();
  return actions;
}

} // namespace sycamore::ownership
