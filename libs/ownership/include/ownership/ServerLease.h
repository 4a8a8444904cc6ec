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

// The lease of one backend server, from the view of one of its voters, which may be a candidate,
// the holder, or a holder that evicts the server. Used by the control thread only. Each event
// returns the actions to perform, in order.
template<OwnershipRules Rules>
class BasicServerLease
{
public:
  BasicServerLease(HolderId self, LeaseTimings timings, ServerRow row, base::TimePoint now);

  // Call it at least every 20 ms, and at nextTickAt() for the least delay.
  LeaseActions tick(base::TimePoint now);
  LeaseActions onVoteReply(const VoteReply& reply, base::TimePoint now);
  // Call it for any answer of the server to a grant. A timeout needs no call.
  LeaseActions onGrantReply(const GrantReply& reply, base::TimePoint now);
  LeaseActions onReleaseReply(const ReleaseReply& reply, base::TimePoint now);
  // Call it when a heartbeat names its sender as the holder, or when the voter of this VM has
  // accepted a vote request of that holder.
  void onHolderSeen(const HolderId& holder, base::Term term, base::TimePoint now);
  // Call it when the holder has resigned: this VM proposes itself without waiting for the holder
  // timeout.
  void onHolderResigned(const HolderId& holder, base::TimePoint now);
  // Call it for each map generation; older ones are ignored. For a server that has no row in the
  // map, pass a row without shards and voters.
  LeaseActions onMap(const ServerRow& row, base::TimePoint now);
  // Call it when the write that AdvanceGeneration asked for is confirmed with this generation.
  void onGenerationAdvanced(base::Generation generation, base::TimePoint now);

  // While the platform can't be reached, no change of the map is started: its raised floor would
  // keep every other VM from taking over the lease until the platform is back.
  void setPlatformReachable(bool reachable) { platformReachable_ = reachable; }

  // Start planned changes. Return an empty optional, and change nothing, unless the lease is Active
  // (or, for voters, Evicted) and no other change is in progress.
  std::optional<LeaseActions> startMove(const ShardSet& shards, base::TimePoint now);
  std::optional<LeaseActions> startVoterChange(std::vector<base::VmId> voters, base::TimePoint now);
  // Abandons the current change if its write has not been requested yet. Returns whether it did.
  bool abandonChange();
  // Gives up the lease, when this entry VM leaves. Other voters may take it over at once.
  LeaseActions resign(base::TimePoint now);

  // Returns the request to send now: a grant of the server's shards and of those permitted in
  // addition (PermitTable), or, while the server is evicted, a probe that grants nothing. Returns
  // none if the lease of this term is no longer held. Call it immediately before sending.
  std::optional<GrantRequest> grantToSend(base::Term term,
                                          const ShardSet& permitted,
                                          base::TimePoint now);
  // Returns whether requests may be dispatched to the server. Call it immediately before sending.
  bool mayDispatch(base::TimePoint now) const;
  // Returns the time until which mayDispatch() stays true without further votes; the epoch if it is
  // false. For traffic threads, which check it immediately before they send.
  base::TimePoint mayDispatchUntil() const;
  // Returns whether this VM holds the lease, of kind Active or Evicted, by votes that are valid
  // now. Heartbeats name only such leases: after a pause the role alone may be out of date.
  bool isHeld(base::TimePoint now) const;
  // Returns the permit for the holder of the successor's lease; none unless Evicted. Call it only
  // when that holder requests the permit: whether the holders of the successors' leases still
  // request permits decides whether the server is reinstated.
  std::optional<Permit> permitFor(const base::ServerId& successor, base::TimePoint now);

  LeaseRole role() const { return role_; }
  base::Term term() const { return term_; }
  const ServerRow& row() const { return row_; }
  const std::optional<MapChange>& change() const { return change_; }
  // Shards that no permit names, since the write that moves them may have taken effect.
  const ShardSet& withheldShards() const { return withheldShards_; }
  base::TimePoint nextTickAt() const { return nextTickAt_; }

private:
  // Voting.
  void propose(LeaseActions& actions, base::TimePoint now);
  void requestVotes(LeaseActions& actions, base::TimePoint now, bool resign = false);
  std::vector<base::VmId> votersToAsk() const;
  VoteRequest voteRequest(const base::VmId& voter, base::TimePoint now) const;
  std::optional<FloorProof> proofFor(const base::VmId& voter, base::TimePoint now) const;
  void onGranted(const VoteReply& reply, LeaseActions& actions, base::TimePoint now);
  void onRefused(const VoteReply& reply, LeaseActions& actions, base::TimePoint now);
  void recordHighestTerm(const VoteReply& reply);
  void recordPreviousVotes(const VoteReply& reply, base::TimePoint now);
  void requestNewGeneration(LeaseActions& actions, base::TimePoint now);
  // Roles.
  void checkVotes(LeaseActions& actions, base::TimePoint now);
  void becomeHolder(LeaseActions& actions, base::TimePoint now);
  void stepDown(LeaseActions& actions, base::TimePoint now);
  void startWatching(base::TimePoint now);
  base::TimePoint evictAt() const;
  void evictIfUnresponsive(base::TimePoint now);
  void becomeEvicted(LeaseActions& actions, base::TimePoint now);
  bool allSuccessorsAskedRecently(base::TimePoint now) const;
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
  void updateQuorumVoters();
  // Queries.
  LeaseKind kind() const;
  bool isVoter() const;
  bool needsNewTerm(LeaseKind kind) const;
  ShardSet shardsToGrant(const ShardSet& permitted) const;
  bool isWriting() const { return change_ && change_->stage == MapChange::Stage::Writing; }
  base::Duration rankDelay() const;

  HolderId self_;
  LeaseTimings timings_;
  ServerRow row_;
  LeaseRole role_ = LeaseRole::Watching;
  base::Term term_;
  base::Term highestTerm_;
  // Kind and row generation of the highest known term.
  LeaseKind knownKind_ = LeaseKind::Active;
  base::Generation knownRowGeneration_;
  base::Generation knownFloor_;
  LeaseKind proposedKind_ = LeaseKind::Active;
  VoteQuorum<Rules> quorum_;
  GrantExpiryTracker grantExpiry_;
  base::TimePoint previousGrantsExpireAt_;
  std::optional<std::uint64_t> acceptedDigest_;
  // Row whose successors the permits name; fixed for the Evicted term.
  ServerRow permitRow_;
  ShardSet withheldShards_;
  std::optional<MapChange> change_;
  base::Generation floor_;
  std::uint64_t nextReleaseId_ = 1;
  // Incarnations of the voters that need a proof, and of those that were known before the write of
  // provenGeneration_ was requested.
  std::map<base::VmId, base::Incarnation> recoveringVoters_;
  std::map<base::VmId, base::Incarnation> provableVoters_;
  base::Generation provenGeneration_;
  std::map<base::Generation, std::map<base::VmId, base::Incarnation>> pendingAdvances_;
  base::VmId knownHolder_;
  bool platformReachable_ = true;
  std::uint64_t sentDigest_ = 0;
  base::TimePoint lastAnswerAt_;
  base::TimePoint proposingSince_;
  base::TimePoint evictionDeadline_;
  base::TimePoint evictedAt_;
  base::TimePoint failoverAt_;
  std::map<base::ServerId, base::TimePoint> permitAskedAt_;
  base::TimePoint nextAdvanceAt_;
  base::TimePoint proposeAt_;
  base::TimePoint renewAt_;
  base::TimePoint nextTickAt_;
};

extern template class BasicServerLease<StandardRules>;
using ServerLease = BasicServerLease<StandardRules>;

} // namespace sycamore::ownership
