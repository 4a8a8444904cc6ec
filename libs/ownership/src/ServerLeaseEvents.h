#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
BasicServerLease<Rules>::BasicServerLease(HolderId self,
                                          LeaseTimings timings,
                                          ServerRow row,
                                          base::TimePoint now)
  : self_(std::move(self))
  , timings_(timings)
  , row_(std::move(row))
{
  updateQuorumVoters();
  startWatching(now);
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::tick(base::TimePoint now)
{
  LeaseActions actions;
  switch (role_) {
    case LeaseRole::Watching:
      if (now >= proposeAt_ && isVoter()) {
        proposingSince_ = now;
        propose(actions, now);
      }
      break;
    case LeaseRole::Proposing:
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
void BasicServerLease<Rules>::tickAsHolder(LeaseActions& actions, base::TimePoint now)
{
  checkVotes(actions, now);
  evictIfUnresponsive(now);
  reinstateIfDue(actions, now);
  if (role_ == LeaseRole::Watching) {
    return;
  }
  if (now >= renewAt_) {
    renew(actions, now);
  }
  continueChange(actions, now);
  startFailover(actions, now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::scheduleTick(base::TimePoint now)
{
  nextTickAt_ = role_ == LeaseRole::Watching ? proposeAt_ : renewAt_;
  if (role_ == LeaseRole::Active && !row_.owned.empty()) {
    nextTickAt_ = std::min(nextTickAt_, std::max(evictAt(), now + base::milliseconds(1)));
  }
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::onVoteReply(const VoteReply& reply, base::TimePoint now)
{
  LeaseActions actions;
  if (!(reply.holder == self_) || reply.server != row_.server) {
    return actions;
  }
  recordHighestTerm(reply);
  if (reply.term != term_ || reply.kind != kind() || role_ == LeaseRole::Watching) {
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
void BasicServerLease<Rules>::onHolderSeen(const HolderId& holder,
                                           base::Term term,
                                           base::TimePoint now)
{
  const bool isWatchingOrProposing = role_ == LeaseRole::Watching || role_ == LeaseRole::Proposing;
  if (holder == self_ || !isWatchingOrProposing) {
    return;
  }
  highestTerm_ = std::max(highestTerm_, term);
  // Two candidates that each take the other for the holder would both get the first rank and
  // collide again. Without a known holder their ranks differ.
  knownHolder_ = role_ == LeaseRole::Proposing ? base::VmId() : holder.vm;
  startWatching(now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::onHolderResigned(const HolderId& holder, base::TimePoint now)
{
  if (role_ == LeaseRole::Watching && !(holder == self_)) {
    knownHolder_ = holder.vm;
    proposeAt_ = std::min(proposeAt_, now + rankDelay());
    nextTickAt_ = proposeAt_;
  }
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::onMap(const ServerRow& row, base::TimePoint now)
{
  LeaseActions actions;
  if (row.generation <= row_.generation) {
    return actions;
  }
  const bool wasVoter = isVoter();
  const ShardSet before = row_.owned;
  row_ = row;
  if (row_.rowGeneration == permitRow_.rowGeneration) {
    permitRow_ = row_;
  }
  resolveChange(actions, now);
  updateQuorumVoters();
  if (role_ == LeaseRole::Watching) {
    if (!wasVoter && isVoter()) {
      startWatching(now);
    }
    return actions;
  }
  checkVotes(actions, now);
  if (role_ == LeaseRole::Active && !(before == row_.owned)) {
    actions.emplace_back(SendGrant{ term_ });
  }
  continueChange(actions, now);
  startFailover(actions, now);
  return actions;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::updateQuorumVoters()
{
  std::vector<std::vector<base::VmId>> sets{ row_.voters };
  if (isWriting() && change_->kind == ChangeKind::Voters) {
    sets.push_back(change_->voters);
  }
  quorum_.setVoters(std::move(sets));
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::isVoter() const
{
  return std::find(row_.voters.begin(), row_.voters.end(), self_.vm) != row_.voters.end();
}

template<OwnershipRules Rules>
LeaseKind BasicServerLease<Rules>::kind() const
{
  switch (role_) {
    case LeaseRole::Proposing:
      return proposedKind_;
    case LeaseRole::Evicting:
    case LeaseRole::Evicted:
      return LeaseKind::Evicted;
    default:
      return LeaseKind::Active;
  }
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::isHeld(base::TimePoint now) const
{
  const bool isHolder = role_ != LeaseRole::Watching && role_ != LeaseRole::Proposing;
  return isHolder && quorum_.isValid(kind(), now);
}

} // namespace sycamore::ownership
