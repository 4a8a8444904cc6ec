#pragma once

#include <ownership/Tenancy.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
std::optional<GrantRequest> BasicTenancy<Rules>::grantToSend(base::Term term,
                                                             const ShardSet& permitted,
                                                             base::TimePoint now)
{
  const bool holder = role_ == TenancyRole::Active || role_ == TenancyRole::Evicted;
  const bool held = holder && term == term_ && holds(now);
  if (Rules::kCheckVotesBeforeSend && !held) {
    return std::nullopt;
  }
  GrantRequest request;
  request.server = row_.server;
  request.holder = self_;
  request.term = term;
  request.generation = row_.generation;
  request.lifetime = timings_.grantLifetime();
  if (role_ == TenancyRole::Evicted) {
    return request;
  }
  request.echo = grants_.echo();
  request.echoIncarnation = grants_.incarnation();
  ShardSet shards = shardsToGrant(permitted);
  request.setDigest = shards.digest();
  if (request.setDigest != acceptedDigest_) {
    request.shards = std::move(shards);
  }
  sentDigest_ = request.setDigest;
  grants_.onSend(timings_);
  return request;
}

template<OwnershipRules Rules>
ShardSet BasicTenancy<Rules>::shardsToGrant(const ShardSet& permitted) const
{
  ShardSet shards = row_.owned;
  shards.insert(permitted);
  if (change_) {
    shards.erase(change_->shards);
  }
  return shards;
}

template<OwnershipRules Rules>
base::TimePoint BasicTenancy<Rules>::mayDispatchUntil() const
{
  return role_ == TenancyRole::Active ? quorum_.validUntil(TenancyKind::Active) : base::TimePoint{};
}

template<OwnershipRules Rules>
bool BasicTenancy<Rules>::mayDispatch(base::TimePoint now) const
{
  return role_ == TenancyRole::Active && holds(now);
}

template<OwnershipRules Rules>
TenancyActions BasicTenancy<Rules>::onGrantReply(const GrantReply& reply, base::TimePoint now)
{
  TenancyActions actions;
  if (reply.term != term_ || reply.server != row_.server) {
    return actions;
  }
  if (role_ == TenancyRole::Evicted) {
    lastAnswerAt_ = now;
  }
  if (role_ != TenancyRole::Active) {
    return actions;
  }
  if (reply.reason == GrantReason::StaleTerm) {
    // Voters that were all restarted may not know the highest term; the server does.
    highestTerm_ = std::max(highestTerm_, std::max(reply.highestTerm, term_));
    stepDown(actions, now);
    proposeAt_ = now + timings_.renewalInterval();
    return actions;
  }
  if (reply.incarnation != grants_.incarnation()) {
    acceptedDigest_.reset();
  }
  const bool fresh = grants_.onReply(reply, now);
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
std::optional<Permit> BasicTenancy<Rules>::permitFor(const base::ServerId& successor,
                                                     base::TimePoint now)
{
  const auto shards = permitRow_.successors.find(successor);
  const base::TimePoint until = quorum_.validUntil(TenancyKind::Evicted);
  if (role_ != TenancyRole::Evicted || now >= until || shards == permitRow_.successors.end()) {
    return std::nullopt;
  }
  askedForPermit_[successor] = now;
  ShardSet permitted = shards->second;
  permitted.erase(withheld_);
  return Permit{ row_.server, successor, term_, permitRow_.generation, permitted, until - now };
}

} // namespace sycamore::ownership
