#pragma once

#include <ownership/ServerLease.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
std::optional<LeaseActions> BasicServerLease<Rules>::startMove(const ShardSet& shards,
                                                               base::TimePoint now)
{
  const bool mayStart = mayDispatch(now) && !change_ && platformReachable_;
  if (!mayStart || shards.empty() || !row_.owned.containsAll(shards)) {
    return std::nullopt;
  }
  change_ = MapChange{ ChangeKind::Move, MapChange::Stage::Releasing, row_.generation, shards, {},
                       nextReleaseId_++ };
  return LeaseActions{ releaseAction() };
}

template<OwnershipRules Rules>
std::optional<LeaseActions> BasicServerLease<Rules>::startVoterChange(
  std::vector<base::VmId> voters,
  base::TimePoint now)
{
  if (!isHeld(now) || change_ || !platformReachable_ || voters.empty() ||
      role_ == LeaseRole::Evicting) {
    return std::nullopt;
  }
  change_ = MapChange{ ChangeKind::Voters, MapChange::Stage::RaisingFloor,
                       row_.generation,    {},
                       std::move(voters),  0 };
  LeaseActions actions;
  raiseFloor(actions, now);
  return actions;
}

template<OwnershipRules Rules>
bool BasicServerLease<Rules>::abandonChange()
{
  if (!change_ || isWriting()) {
    return false;
  }
  change_.reset();
  return true;
}

template<OwnershipRules Rules>
SendRelease BasicServerLease<Rules>::releaseAction() const
{
  return SendRelease{ { row_.server, self_, term_, change_->releaseId, change_->shards } };
}

template<OwnershipRules Rules>
LeaseActions BasicServerLease<Rules>::onReleaseReply(const ReleaseReply& reply, base::TimePoint now)
{
  LeaseActions actions;
  const bool awaited = change_ && change_->stage == MapChange::Stage::Releasing &&
                       reply.id == change_->releaseId && reply.term == term_;
  if (awaited && reply.released && reply.server == row_.server) {
    raiseFloor(actions, now);
    continueChange(actions, now);
  }
  return actions;
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::raiseFloor(LeaseActions& actions, base::TimePoint now)
{
  change_->stage = MapChange::Stage::RaisingFloor;
  change_->base = row_.generation;
  floor_ = base::Generation(row_.generation.value() + 1);
  if (Rules::kRaiseFloor) {
    requestVotes(actions, now);
  } else {
    floor_ = {};
  }
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::continueChange(LeaseActions& actions, base::TimePoint now)
{
  if (!change_ || change_->stage != MapChange::Stage::RaisingFloor || !isHeld(now)) {
    return;
  }
  if (change_->base < row_.generation) {
    raiseFloor(actions, now);
  }
  writeWhenFloorHeld(actions, now);
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::writeWhenFloorHeld(LeaseActions& actions, base::TimePoint now)
{
  change_->stage = MapChange::Stage::Writing;
  // From the write on, majorities of both the old and the new voters are needed.
  updateQuorumVoters();
  if (!isHeld(now) || !quorum_.hasFloor(floor_, now)) {
    change_->stage = MapChange::Stage::RaisingFloor;
    updateQuorumVoters();
    return;
  }
  actions.emplace_back(WriteMap{ change_->kind, change_->base, change_->shards, change_->voters });
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::resolveChange(LeaseActions& actions, base::TimePoint now)
{
  if (isWriting() && row_.generation > change_->base) {
    actions.emplace_back(ChangeResolved{ change_->kind });
    change_.reset();
    // Holders of other leases may be writing the same map: wait before the next failover write.
    failoverAt_ = now + timings_.renewalInterval();
  }
}

template<OwnershipRules Rules>
void BasicServerLease<Rules>::startFailover(LeaseActions& actions, base::TimePoint now)
{
  const bool due = role_ == LeaseRole::Evicted && !change_ && !row_.owned.empty();
  if (!due || !platformReachable_ || now < failoverAt_) {
    return;
  }
  change_ = MapChange{
    ChangeKind::Failover, MapChange::Stage::RaisingFloor, row_.generation, row_.owned, {}, 0
  };
  raiseFloor(actions, now);
  continueChange(actions, now);
}

} // namespace sycamore::ownership
