#pragma once

#include <ownership/LeaseTimings.h>
#include <ownership/OwnershipRules.h>
#include <ownership/VoteReply.h>
#include <ownership/VoteRequest.h>
#include <ownership/VoterRecord.h>
#include <ownership/VoterStateReply.h>
#include <ownership/VoterStateRequest.h>

#include <unordered_map>
#include <vector>

namespace sycamore::ownership {

// The votes of one entry VM for the leases of all servers, in memory only (rules V1 to V5 of the
// design). Used by the control thread only. A batch of requests is answered one by one.
template<OwnershipRules Rules>
class BasicVoter
{
public:
  // self must have a new incarnation after each start of the process.
  BasicVoter(HolderId self, LeaseTimings timings, base::TimePoint startedAt);

  VoteReply vote(const VoteRequest& request, base::TimePoint now);

  // Returns the state requests to send to other voters. Call it on every tick: requests without a
  // reply are repeated.
  std::vector<VoterStateRequest> stateRequests(base::TimePoint now);
  VoterStateReply answer(const VoterStateRequest& request) const;
  void onStateReply(const VoterStateReply& reply);

  // Removes the record of a server that has left the map, and returns true; this VM must recover
  // its state before it votes for the server again. Returns false while a vote or a grant may be in
  // force.
  bool forget(const base::ServerId& server, base::TimePoint now);
  std::size_t size() const { return records_.size(); }

private:
  VoterRecord& recordOf(const base::ServerId& server);
  bool isAbstaining(base::TimePoint now) const;
  void startRecovery(VoterRecord& record, const VoteRequest& request);
  VoteAnswer evaluate(const VoterRecord& record,
                      const VoteRequest& request,
                      base::TimePoint now) const;
  base::TimePoint acceptableAt(const VoterRecord& record, const VoteRequest& request) const;
  void recordVote(VoterRecord& record, const VoteRequest& request, base::TimePoint now);

  HolderId self_;
  LeaseTimings timings_;
  base::TimePoint startedAt_;
  std::unordered_map<base::ServerId, VoterRecord> records_;
};

extern template class BasicVoter<StandardRules>;
using Voter = BasicVoter<StandardRules>;

} // namespace sycamore::ownership
