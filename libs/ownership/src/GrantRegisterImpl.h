#pragma once

#include <ownership/GrantRegister.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
BasicGrantRegister<Rules>::BasicGrantRegister(base::ServerId self,
                                              base::Incarnation incarnation,
                                              base::TimePoint startedAt)
  : self_(std::move(self))
  , incarnation_(incarnation)
  , startedAt_(startedAt)
{
}

// Returns whether the sender's term is current, and stores the term and the holder if so.
template<OwnershipRules Rules>
bool BasicGrantRegister<Rules>::raiseTerm(base::Term term, const HolderId& holder)
{
  const bool stale = term < highestTerm_ || (term == highestTerm_ && !(holder == holder_));
  if (Rules::kCheckTerms && stale) {
    return false;
  }
  highestTerm_ = term;
  holder_ = holder;
  return true;
}

template<OwnershipRules Rules>
GrantReason BasicGrantRegister<Rules>::evaluate(const GrantRequest& request,
                                                base::TimePoint now) const
{
  const bool known =
    request.echo && request.echoIncarnation == incarnation_ && *request.echo >= startedAt_;
  if (!known || *request.echo > now) {
    return GrantReason::NoEcho;
  }
  if (Rules::kValidityFromEcho && *request.echo + request.lifetime <= now) {
    return GrantReason::Expired;
  }
  if (request.term == grantedTerm_ && *request.echo < lastEcho_) {
    return GrantReason::OutOfOrder;
  }
  const bool sameSet = hasRequested_ && requestedDigest_ == request.setDigest;
  return request.shards || sameSet ? GrantReason::Accepted : GrantReason::UnknownDigest;
}

template<OwnershipRules Rules>
GrantReply BasicGrantRegister<Rules>::onGrant(const GrantRequest& request, base::TimePoint now)
{
  GrantReply reply;
  reply.server = self_;
  reply.term = request.term;
  reply.serverTime = now;
  reply.incarnation = incarnation_;
  reply.reason =
    raiseTerm(request.term, request.holder) ? evaluate(request, now) : GrantReason::StaleTerm;
  reply.accepted = reply.reason == GrantReason::Accepted;
  reply.highestTerm = highestTerm_;
  if (reply.accepted) {
    adopt(request, now);
  }
  return reply;
}

template<OwnershipRules Rules>
void BasicGrantRegister<Rules>::adopt(const GrantRequest& request, base::TimePoint now)
{
  const bool lapsed = now >= validUntil_;
  if (request.shards) {
    requested_ = *request.shards;
    requestedDigest_ = request.setDigest;
    hasRequested_ = true;
  }
  lastEcho_ = *request.echo;
  grantedTerm_ = request.term;
  longestLifetime_ = std::max(longestLifetime_, request.lifetime);
  validUntil_ = (Rules::kValidityFromEcho ? lastEcho_ : now) + request.lifetime;
  while (!releases_.empty() && releases_.front().receivedAt + longestLifetime_ < now) {
    releases_.pop_front();
  }
  granted_ = requested_;
  for (const Release& release : releases_) {
    if (lastEcho_ <= release.receivedAt && Rules::kIgnoreGrantsOlderThanRelease) {
      granted_.erase(release.shards);
    }
  }
  if (lapsed) {
    executions_.clear();
  } else {
    abortUnownedExecutions(now);
  }
}

template<OwnershipRules Rules>
void BasicGrantRegister<Rules>::abortUnownedExecutions(base::TimePoint)
{
  std::erase_if(executions_, [&](const auto& item) {
    return !granted_.contains(item.second) && !isReleased(item.second);
  });
}

template<OwnershipRules Rules>
bool BasicGrantRegister<Rules>::isReleased(base::ShardId shard) const
{
  return std::any_of(releases_.begin(), releases_.end(), [&](const Release& release) {
    return release.shards.contains(shard);
  });
}

template<OwnershipRules Rules>
bool BasicGrantRegister<Rules>::isExecuting(const ShardSet& shards) const
{
  return std::any_of(executions_.begin(), executions_.end(), [&](const auto& item) {
    return shards.contains(item.second);
  });
}

template<OwnershipRules Rules>
ReleaseReply BasicGrantRegister<Rules>::onRelease(const ReleaseRequest& request,
                                                  base::TimePoint now)
{
  ReleaseReply reply{ self_, request.term, request.id, false };
  if (!raiseTerm(request.term, request.holder)) {
    return reply;
  }
  releases_.push_back({ request.shards, now });
  granted_.erase(request.shards);
  if (now >= validUntil_) {
    executions_.clear();
  }
  reply.released = !isExecuting(request.shards);
  return reply;
}

template<OwnershipRules Rules>
StartResult BasicGrantRegister<Rules>::start(base::ShardId shard,
                                             base::Term term,
                                             base::TimePoint now,
                                             ExecutionId& execution)
{
  if (Rules::kCheckTerms && term < highestTerm_) {
    return StartResult::StaleTerm;
  }
  if (!mayExecute(shard, now)) {
    return isReleased(shard) ? StartResult::Draining : StartResult::NotOwner;
  }
  execution = ExecutionId{ nextExecution_++ };
  executions_.emplace(execution, shard);
  return StartResult::Started;
}

template<OwnershipRules Rules>
bool BasicGrantRegister<Rules>::mayCommit(ExecutionId execution, base::TimePoint now) const
{
  return now < validUntil_ && executions_.contains(execution);
}

template<OwnershipRules Rules>
bool BasicGrantRegister<Rules>::mayExecute(base::ShardId shard, base::TimePoint now) const
{
  return now < validUntil_ && granted_.contains(shard);
}

} // namespace sycamore::ownership
