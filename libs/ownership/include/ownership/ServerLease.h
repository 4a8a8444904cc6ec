#pragma once

#include <ownership/GrantExpiryTracker.h>
#include <ownership/GrantReply.h>
#include <ownership/GrantRequest.h>
#include <ownership/LeaseAction.h>
#include <ownership/LeaseRole.h>
#include <ownership/LeaseTimings.h>
#include <ownership/MapChange.h>
#include <ownership/Permit.h>
#include <ownership/ReleaseReply.h>
#include <ownership/ServerRow.h>
#include <ownership/VoteQuorum.h>
#include <ownership/VoteReply.h>

#include <map>
#include <optional>
#include <vector>

namespace sycamore::ownership {

// The tenancy of one backend server, as seen by one of its voters: candidate, holder, evicting
// holder. Used by the control thread only. Each event returns what to do, in order.
template<OwnershipRules Rules>
class BasicServerLease
{
public:
  BasicServerLease(HolderId self, LeaseTimings timings, ServerRow row, base::TimePoint now);

  // At least every 20 ms, and at nextTickAt() for the least delay.
  LeaseActions tick(base::TimePoint now);
  LeaseActions onVoteReply(const VoteReply& reply, base::TimePoint now);
  // Any answer of the server to a grant. A timeout needs no event.
  LeaseActions onGrantReply(const GrantReply& reply, base::TimePoint now);
  LeaseActions onReleaseReply(const ReleaseReply& reply, base::TimePoint now);
  // A heartbeat names its sender as holder, or the own voter has accepted a vote request of it.
  void onHolderSeen(const HolderId& holder, base::Term term, base::TimePoint now);
  // The holder has resigned: propose without waiting for silence.
  void onHolderResigned(const HolderId& holder, base::TimePoint now);
  // A map generation, older ones are ignored. For a server without row: owns nothing, no voters.
  LeaseActions onMap(const ServerRow& row, base::TimePoint now);
  // The write asked for by AdvanceGeneration has been confirmed with this generation.
  void onGenerationAdvanced(base::Generation generation, base::TimePoint now);

  // While the platform can't be reached, no change of the map is started: its raised floor would
  // keep every other VM from taking the tenancy over until the platform is back.
  void setPlatformReachable(bool reachable) { platformReachable_ = reachable; }

  // Planned changes. Refused (empty optional) unless Active with no other change under way.
  std::optional<LeaseActions> startMove(const ShardSet& shards, base::TimePoint now);
  std::optional<LeaseActions> startVoterChange(std::vector<base::VmId> voters, base::TimePoint now);
  // Gives a change up before its write was asked for. Returns whether it did.
  bool abandonChange();
  // Gives the tenancy up, for a leaving entry VM. Other voters may take it over at once.
  LeaseActions resign(base::TimePoint now);

  // The request to send now: a grant with the shards permitted in addition (PermitTable); none if
  // the tenancy of this term is not held any more. While the server is evicted, a probe that grants
  // nothing. Call it immediately before sending.
  std::optional<GrantRequest> grantToSend(base::Term term,
                                          const ShardSet& permitted,
                                          base::TimePoint now);
  // Whether requests may be dispatched to the server. Check it immediately before sending.
  bool mayDispatch(base::TimePoint now) const;
  // Until when mayDispatch() stays true without further votes; the epoch if it is false. For
  // traffic threads, which check it right before they send.
  base::TimePoint mayDispatchUntil() const;
  // Whether this VM has the tenancy, as Active or Evicted. Heartbeats name only such tenancies: the
  // role alone may be out of date after a pause.
  bool isHeld(base::TimePoint now) const;
  // Permits for the holder of the successor; empty unless Evicted. Call it only when that holder
  // asks: whether the successors ask decides about reinstating the server.
  std::optional<Permit> permitFor(const base::ServerId& successor, base::TimePoint now);

  LeaseRole role() const { return role_; }
  base::Term term() const { return term_; }
  const ServerRow& row() const { return row_; }
  const std::optional<MapChange>& change() const { return change_; }
  base::TimePoint nextTickAt() const { return nextTick_; }

private:
  // Voting.
  void propose(LeaseActions& actions, base::TimePoint now);
  void askVotes(LeaseActions& actions, base::TimePoint now, bool resign = false);
  std::vector<base::VmId> votersToAsk() const;
  VoteRequest voteRequest(const base::VmId& voter, base::TimePoint now) const;
  std::optional<FloorProof> proofFor(const base::VmId& voter, base::TimePoint now) const;
  void onGranted(const VoteReply& reply, LeaseActions& actions, base::TimePoint now);
  void onRefused(const VoteReply& reply, LeaseActions& actions, base::TimePoint now);
  void noteHighest(const VoteReply& reply);
  void noteEarlierVotes(const VoteReply& reply, base::TimePoint now);
  void requestBump(LeaseActions& actions, base::TimePoint now);
  // Roles.
  void checkVotes(LeaseActions& actions, base::TimePoint now);
  void becomeHolder(LeaseActions& actions, base::TimePoint now);
  void stepDown(LeaseActions& actions, base::TimePoint now);
  void watch(base::TimePoint now);
  base::TimePoint evictAt() const;
  void evictIfSilent(base::TimePoint now);
  void becomeEvicted(LeaseActions& actions, base::TimePoint now);
  bool successorsAsk(base::TimePoint now) const;
  void reinstateIfDue(LeaseActions& actions, base::TimePoint now);
  void tickAsHolder(LeaseActions& actions, base::TimePoint now);
  void scheduleTick(base::TimePoint now);
  void renew(LeaseActions& actions, base::TimePoint now);
  // Changes of the map.
  void continueChange(LeaseActions& actions, base::TimePoint now);
  void raiseFloor(LeaseActions& actions, base::TimePoint now);
  void writeWhenFloorHeld(LeaseActions& actions, base::TimePoint now);
  void resolveChange(LeaseActions& actions, base::TimePoint now);
  void startFailover(LeaseActions& actions, base::TimePoint now);
  SendRelease releaseAction() const;
  void useVoters();
  // State in short.
  LeaseKind kind() const;
  bool isVoter() const;
  bool needsNewTerm(LeaseKind kind) const;
  ShardSet shardsToGrant(const ShardSet& permitted) const;
  bool writing() const { return change_ && change_->stage == MapChange::Stage::Writing; }
  base::Duration rankDelay() const;

  HolderId self_;
  LeaseTimings timings_;
  ServerRow row_;
  LeaseRole role_ = LeaseRole::Watching;
  base::Term term_;
  base::Term highestTerm_;
  // Of the highest term heard of.
  LeaseKind knownKind_ = LeaseKind::Active;
  base::Generation knownRowGeneration_;
  base::Generation knownFloor_;
  LeaseKind proposedKind_ = LeaseKind::Active;
  VoteQuorum<Rules> quorum_;
  GrantExpiryTracker grants_;
  base::TimePoint earlierGrantsExpire_;
  std::optional<std::uint64_t> acceptedDigest_;
  // The successors that permits name; fixed for the Evicted term.
  ServerRow permitRow_;
  ShardSet withheld_;
  std::optional<MapChange> change_;
  base::Generation floor_;
  std::uint64_t nextReleaseId_ = 1;
  // Runs of voters that need a proof, and those seen before the last bump was asked for.
  std::map<base::VmId, base::Incarnation> unlearned_;
  std::map<base::VmId, base::Incarnation> provable_;
  base::Generation provenGeneration_;
  std::map<base::Generation, std::map<base::VmId, base::Incarnation>> bumps_;
  base::VmId knownHolder_;
  bool platformReachable_ = true;
  std::uint64_t sentDigest_ = 0;
  base::TimePoint lastAnswerAt_;
  base::TimePoint proposingSince_;
  base::TimePoint evictBy_;
  base::TimePoint evictedAt_;
  base::TimePoint failoverAt_;
  std::map<base::ServerId, base::TimePoint> askedForPermit_;
  base::TimePoint bumpAgainAt_;
  base::TimePoint proposeAt_;
  base::TimePoint renewAt_;
  base::TimePoint nextTick_;
};

extern template class BasicServerLease<StandardRules>;
using ServerLease = BasicServerLease<StandardRules>;

} // namespace sycamore::ownership
