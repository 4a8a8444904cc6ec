#pragma once

#include <ownership/Tenancy.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
BasicTenancy<Rules>::BasicTenancy(HolderId self,
                                  LeaseTimings timings,
                                  ServerRow row,
                                  base::TimePoint now)
  : self_(std::move(self))
  , timings_(timings)
  , row_(std::move(row))
{
  useVoters();
  watch(now);
}

template<OwnershipRules Rules>
TenancyActions BasicTenancy<Rules>::tick(base::TimePoint now)
{
  TenancyActions actions;
  switch (role_) {
    case TenancyRole::Watching:
      if (now >= proposeAt_ && isVoter()) {
        proposingSince_ = now;
        propose(actions, now);
      }
      break;
    case TenancyRole::Proposing:
      if (now >= renewAt_) {
        propose(actions, now);
      }
      break;
    default:
      tickAsHolder(actions, now);
      break;
  }
  scheduleTick(now);
  return actions;
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::tickAsHolder(TenancyActions& actions, base::TimePoint now)
{
  checkVotes(actions, now);
  evictIfSilent(now);
  reinstateIfDue(actions, now);
  if (role_ == TenancyRole::Watching) {
    return;
  }
  if (now >= renewAt_) {
    renew(actions, now);
  }
  continueChange(actions, now);
  startFailover(actions, now);
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::scheduleTick(base::TimePoint now)
{
  nextTick_ = role_ == TenancyRole::Watching ? proposeAt_ : renewAt_;
  if (role_ == TenancyRole::Active && !row_.owned.empty()) {
    nextTick_ = std::min(nextTick_, std::max(evictAt(), now + base::milliseconds(1)));
  }
}

template<OwnershipRules Rules>
TenancyActions BasicTenancy<Rules>::onVoteReply(const VoteReply& reply, base::TimePoint now)
{
  TenancyActions actions;
  if (!(reply.holder == self_) || reply.server != row_.server) {
    return actions;
  }
  noteHighest(reply);
  if (reply.term != term_ || reply.kind != kind() || role_ == TenancyRole::Watching) {
    return actions;
  }
  if (reply.answer == VoteAnswer::Granted) {
    onGranted(reply, actions, now);
  } else {
    onRefused(reply, actions, now);
  }
  scheduleTick(now);
  return actions;
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::onHolderSeen(const HolderId& holder, base::Term term, base::TimePoint now)
{
  const bool waits = role_ == TenancyRole::Watching || role_ == TenancyRole::Proposing;
  if (holder == self_ || !waits) {
    return;
  }
  highestTerm_ = std::max(highestTerm_, term);
  // Two candidates that have seen each other would both count as first in the order and collide
  // again; without a known holder their ranks differ.
  knownHolder_ = role_ == TenancyRole::Proposing ? base::VmId() : holder.vm;
  watch(now);
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::onHolderResigned(const HolderId& holder, base::TimePoint now)
{
  if (role_ == TenancyRole::Watching && !(holder == self_)) {
    knownHolder_ = holder.vm;
    proposeAt_ = std::min(proposeAt_, now + rankDelay());
    nextTick_ = proposeAt_;
  }
}

template<OwnershipRules Rules>
TenancyActions BasicTenancy<Rules>::onMap(const ServerRow& row, base::TimePoint now)
{
  TenancyActions actions;
  if (row.generation <= row_.generation) {
    return actions;
  }
  const bool wasVoter = isVoter();
  const ShardSet before = row_.owned;
  row_ = row;
  if (row_.changed == permitRow_.changed) {
    permitRow_ = row_;
  }
  resolveChange(actions, now);
  useVoters();
  if (role_ == TenancyRole::Watching) {
    if (!wasVoter && isVoter()) {
      watch(now);
    }
    return actions;
  }
  checkVotes(actions, now);
  if (role_ == TenancyRole::Active && !(before == row_.owned)) {
    actions.emplace_back(SendGrant{ term_ });
  }
  continueChange(actions, now);
  startFailover(actions, now);
  return actions;
}

template<OwnershipRules Rules>
void BasicTenancy<Rules>::useVoters()
{
  std::vector<std::vector<base::VmId>> sets{ row_.voters };
  if (writing() && change_->kind == ChangeKind::Voters) {
    sets.push_back(change_->voters);
  }
  quorum_.setVoters(std::move(sets));
}

template<OwnershipRules Rules>
bool BasicTenancy<Rules>::isVoter() const
{
  return std::find(row_.voters.begin(), row_.voters.end(), self_.vm) != row_.voters.end();
}

template<OwnershipRules Rules>
TenancyKind BasicTenancy<Rules>::kind() const
{
  switch (role_) {
    case TenancyRole::Proposing:
      return proposedKind_;
    case TenancyRole::Evicting:
    case TenancyRole::Evicted:
      return TenancyKind::Evicted;
    default:
      return TenancyKind::Active;
  }
}

template<OwnershipRules Rules>
bool BasicTenancy<Rules>::holds(base::TimePoint now) const
{
  const bool holder = role_ != TenancyRole::Watching && role_ != TenancyRole::Proposing;
  return holder && quorum_.valid(kind(), now);
}

} // namespace sycamore::ownership
