#include <doctest/doctest.h>
#include <ownership/VoteQuorum.h>
#include <ownership/Voter.h>

using namespace sycamore;
using namespace sycamore::ownership;
using base::milliseconds;

namespace {

const base::TimePoint kStart{ std::chrono::seconds(5) };
const base::TimePoint kAbstentionOver = kStart + milliseconds(1000);

HolderId vm(const char* name, std::uint64_t incarnation = 1)
{
  return { base::VmId(name), base::Incarnation(incarnation) };
}

Voter voter(const char* name = "a")
{
  return { vm(name), LeaseTimings::Builder().build(), kStart };
}

VoteRequest request(const HolderId& holder, std::uint64_t term, std::uint64_t generation = 5)
{
  VoteRequest result;
  result.server = base::ServerId("s");
  result.holder = holder;
  result.term = base::Term(term);
  result.generation = base::Generation(generation);
  result.rowGeneration = base::Generation(1);
  result.peers = { base::VmId("b"), base::VmId("c") };
  result.proof = FloorProof{ base::Incarnation(1), base::Generation(1) };
  return result;
}

VoterStateReply stateReply(const VoterStateRequest& stateRequest, std::uint64_t floor)
{
  VoterStateReply reply;
  reply.server = stateRequest.server;
  reply.from = stateRequest.to;
  reply.to = stateRequest.from;
  reply.toIncarnation = stateRequest.fromIncarnation;
  reply.round = stateRequest.round;
  reply.known = true;
  reply.floor = base::Generation(floor);
  return reply;
}

} // namespace

// Guards against a restarted voter that recovers its state before a floor raised in the meantime
// has reached its peers, and against one that relies on a single peer.
TEST_CASE(
  "a restarted voter queries its peers after its abstention and votes once both have answered")
{
  Voter a = voter();
  VoteRequest voteRequest = request(vm("b"), 1);
  voteRequest.proof.reset();
  CHECK(a.vote(voteRequest, kStart + milliseconds(800)).answer == VoteAnswer::Abstaining);
  CHECK(a.stateRequests(kStart + milliseconds(800)).empty());
  CHECK(a.vote(voteRequest, kAbstentionOver).answer == VoteAnswer::Recovering);
  const auto stateRequests = a.stateRequests(kAbstentionOver);
  REQUIRE(stateRequests.size() == 2);
  a.onStateReply(stateReply(stateRequests[0], 5));
  a.onStateReply(stateReply(stateRequests[0], 5));
  CHECK(a.vote(voteRequest, kAbstentionOver).answer == VoteAnswer::Recovering);
  a.onStateReply(stateReply(stateRequests[1], 4));
  CHECK(a.vote(voteRequest, kAbstentionOver).answer == VoteAnswer::Granted);
}

// Guards against a recovery from voters that have been replaced.
TEST_CASE("a restarted voter gives no vote if its peers know a floor above the proposer's map")
{
  Voter a = voter();
  VoteRequest voteRequest = request(vm("b"), 1);
  voteRequest.proof.reset();
  a.vote(voteRequest, kAbstentionOver);
  for (const VoterStateRequest& stateRequest : a.stateRequests(kAbstentionOver)) {
    a.onStateReply(stateReply(stateRequest, 6));
  }
  CHECK(a.vote(voteRequest, kAbstentionOver).answer == VoteAnswer::Recovering);
}

// Guards against a proof for a previous incarnation of the voter, whose floors it may have lost.
TEST_CASE("a proof counts only for the incarnation of the voter that it names")
{
  Voter a = voter();
  VoteRequest voteRequest = request(vm("b"), 1);
  voteRequest.proof->voterIncarnation = base::Incarnation(2);
  CHECK(a.vote(voteRequest, kAbstentionOver).answer == VoteAnswer::Recovering);
}

// Guards against a restarted holder with an old map that renews the vote for its previous
// incarnation: a renewal is not checked against the floor.
TEST_CASE("a restarted holder cannot continue the term of its previous incarnation")
{
  Voter a = voter();
  VoteRequest first = request(vm("b", 1), 1);
  first.floor = base::Generation(6);
  CHECK(a.vote(first, kAbstentionOver).answer == VoteAnswer::Granted);
  CHECK(a.vote(request(vm("b", 2), 1), kAbstentionOver).answer == VoteAnswer::StaleTerm);
  CHECK(a.vote(request(vm("b", 2), 2), kAbstentionOver).answer == VoteAnswer::StaleMap);
  CHECK(a.vote(first, kAbstentionOver).answer == VoteAnswer::Granted);
}

// Guards against a candidate that takes over the lease of a running holder because the holder can't
// reach it.
TEST_CASE("a voter supports its holder until the vote lapses or the holder resigns")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAbstentionOver);
  const VoteReply early = a.vote(request(vm("c"), 2), kAbstentionOver + milliseconds(100));
  CHECK(early.answer == VoteAnswer::MustWait);
  CHECK(a.vote(request(vm("c"), 2), kAbstentionOver + milliseconds(100) + early.remaining).answer ==
        VoteAnswer::Granted);

  Voter resigned = voter();
  VoteRequest last = request(vm("b"), 1);
  resigned.vote(last, kAbstentionOver);
  last.resign = true;
  resigned.vote(last, kAbstentionOver);
  CHECK(resigned.vote(request(vm("c"), 2), kAbstentionOver).answer == VoteAnswer::Granted);
}

// Guards against two VMs that dispatch to a server that does not check tokens.
TEST_CASE("a new holder of a server that checks no tokens waits until old grants have expired")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAbstentionOver);
  VoteRequest next = request(vm("c"), 2);
  next.checksTokens = false;
  CHECK(a.vote(next, kAbstentionOver + milliseconds(800)).answer == VoteAnswer::MustWait);
  CHECK(a.vote(next, kAbstentionOver + milliseconds(820)).answer == VoteAnswer::Granted);
}

// Guards against a late request of a holder that undoes an eviction by the same holder.
TEST_CASE("a term never goes back from Evicted to Active")
{
  Voter a = voter();
  VoteRequest evict = request(vm("b"), 1);
  evict.kind = LeaseKind::Evicted;
  a.vote(request(vm("b"), 1), kAbstentionOver);
  CHECK(a.vote(evict, kAbstentionOver).answer == VoteAnswer::Granted);
  CHECK(a.vote(request(vm("b"), 1), kAbstentionOver).answer == VoteAnswer::StaleTerm);
}

// Guards against a floor that one voter has acknowledged, and lost by a restart, before the second
// one has it.
TEST_CASE("a floor counts only at voters whose votes are valid at the same time")
{
  VoteQuorum<StandardRules> quorum;
  quorum.setVoters({ { base::VmId("a"), base::VmId("b"), base::VmId("c") } });
  const base::Generation floor(6);
  quorum.add(base::VmId("a"), { LeaseKind::Active, floor, kStart + milliseconds(300) });
  quorum.add(base::VmId("b"), { LeaseKind::Active, floor, kStart + milliseconds(500) });
  CHECK(quorum.hasFloor(floor, kStart + milliseconds(299)));
  CHECK_FALSE(quorum.hasFloor(floor, kStart + milliseconds(300)));
}

// Guards against a change of voters that is written without a majority of the new ones.
TEST_CASE("while the voters change, majorities of both sets are needed")
{
  VoteQuorum<StandardRules> quorum;
  const base::VmId a("a");
  const base::VmId b("b");
  const base::VmId c("c");
  quorum.setVoters({ { a, b, c }, { a, base::VmId("d"), base::VmId("e") } });
  const ReceivedVote vote{ LeaseKind::Active, base::Generation(6), kStart + milliseconds(300) };
  quorum.add(a, vote);
  quorum.add(b, vote);
  CHECK_FALSE(quorum.isValid(LeaseKind::Active, kStart));
  quorum.add(base::VmId("e"), vote);
  CHECK(quorum.isValid(LeaseKind::Active, kStart));
}

// Guards against the removal of a vote while it is in force.
TEST_CASE("a voter removes a server only after its vote and the grants under it have expired")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAbstentionOver);
  CHECK_FALSE(a.forget(base::ServerId("s"), kAbstentionOver + milliseconds(800)));
  CHECK(a.forget(base::ServerId("s"), kAbstentionOver + milliseconds(820)));
  CHECK(a.size() == 0);
}
