#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
std::optional<GrantRequest> BasicServerLease<Rules>::grantToSend(base::Term term,
                                                                 const ShardSet& permitted,
                                                                 base::TimePoint now)
{
  const bool isHolder = role_ == LeaseRole::Active || role_ == LeaseRole::Evicted;
  const bool held = isHolder && term == term_ && isHeld(now);
  if (Rules::kCheckVotesBeforeSend && !held) {
    return std::nullopt;
  }
  GrantRequest request;
  request.server = row_.server;
  request.holder = self_;
  request.term = term;
  request.generation = row_.generation;
  request.lifetime = timings_.grantLifetime();
  if (role_ == LeaseRole::Evicted) {
    return request;
  }
  request.echo = grantExpiry_.echo();
  request.echoIncarnation = grantExpiry_.incarnation();
  ShardSet shards = shardsToGrant(permitted);
  request.setDigest = shards.digest();
  if (request.setDigest != acceptedDigest_) {
    request.shards = std::move(shards);
  }
  sentDigest_ = request.setDigest;
  grantExpiry_.onSend(timings_);
  return request;
}

template<OwnershipRules Rules>
ShardSet BasicServerLease<Rules>::shardsToGrant(const ShardSet& permitted) const
{
  ShardSet shards = row_.owned;
  shards.insert(permitted);
  if (change_) {
    shards.erase(change_->shards);
  }
  return shards;
}

template<OwnershipRules Rules>
base::TimePoint BasicServerLease<Rules>::mayDispatchUntil() const
{
  return role_ == LeaseRole::Active ? quorum_.validUntil(LeaseKind::Active) : base::TimePoint{};
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::mayDispatch(base::TimePoint now) const
{
  return role_ == LeaseRole::Active && isHeld(now);
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::onGrantReply(const GrantReply& reply, base::TimePoint now)
{
  LeaseActions actions;
  if (reply.term != term_ || reply.server != row_.server) {
    return actions;
  }
  if (role_ == LeaseRole::Evicted) {
    lastAnswerAt_ = now;
  }
  if (role_ != LeaseRole::Active) {
    return actions;
  }
  if (reply.reason == GrantReason::StaleTerm) {
    // If all voters have been restarted, they may not know the highest term; the server does.
    highestTerm_ = std::max(highestTerm_, std::max(reply.highestTerm, term_));
    stepDown(actions, now);
    proposeAt_ = now + timings_.renewalInterval();
    return actions;
  }
  if (reply.incarnation != grantExpiry_.incarnation()) {
    acceptedDigest_.reset();
  }
  const bool fresh = grantExpiry_.onReply(reply, now);
  if (fresh) {
    lastAnswerAt_ = now;
  }
  if (reply.accepted) {
    acceptedDigest_ = sentDigest_;
  } else if (reply.reason == GrantReason::NoEcho || reply.reason == GrantReason::UnknownDigest) {
    acceptedDigest_.reset();
    if (fresh) {
      actions.emplace_back(SendGrant{ term_ });
    }
  }
  return actions;
}

template<OwnershipRules Rules>
std::optional<Permit> BasicServerLease<Rules>::permitFor(const base::ServerId& successor,
                                                         base::TimePoint now)
{
  const auto shards = permitRow_.successors.find(successor);
  const base::TimePoint until = quorum_.validUntil(LeaseKind::Evicted);
  if (role_ != LeaseRole::Evicted || now >= until || shards == permitRow_.successors.end()) {
    return std::nullopt;
  }
  permitAskedAt_[successor] = now;
  ShardSet permitted = shards->second;
  permitted.erase(withheldShards_);
  return Permit{ row_.server, successor, term_, permitRow_.generation, permitted, until - now };
}

} // namespace sycamore::ownership
