#include <doctest/doctest.h>
#include <ownership/VoteQuorum.h>
#include <ownership/Voter.h>

using namespace sycamore;
using namespace sycamore::ownership;
using base::milliseconds;

namespace {

const base::TimePoint kStart{ std::chrono::seconds(5) };
const base::TimePoint kAwake = kStart + milliseconds(1000);

HolderId vm(const char* name, std::uint64_t run = 1)
{
  return { base::VmId(name), base::Incarnation(run) };
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

VoterStateReply learned(const VoterStateRequest& question, std::uint64_t floor)
{
  VoterStateReply reply;
  reply.server = question.server;
  reply.from = question.to;
  reply.to = question.from;
  reply.toIncarnation = question.fromIncarnation;
  reply.round = question.round;
  reply.known = true;
  reply.floor = base::Generation(floor);
  return reply;
}

} // namespace

// Guards against a restarted voter that relearns before a floor raised in the meantime has reached
// the others, and against one that trusts a single peer.
TEST_CASE("a restarted voter asks after its abstention and needs the answers of both peers")
{
  Voter a = voter();
  VoteRequest asked = request(vm("b"), 1);
  asked.proof.reset();
  CHECK(a.vote(asked, kStart + milliseconds(800)).answer == VoteAnswer::Abstaining);
  CHECK(a.stateRequests(kStart + milliseconds(800)).empty());
  CHECK(a.vote(asked, kAwake).answer == VoteAnswer::Recovering);
  const auto questions = a.stateRequests(kAwake);
  REQUIRE(questions.size() == 2);
  a.onStateReply(learned(questions[0], 5));
  a.onStateReply(learned(questions[0], 5));
  CHECK(a.vote(asked, kAwake).answer == VoteAnswer::Recovering);
  a.onStateReply(learned(questions[1], 4));
  CHECK(a.vote(asked, kAwake).answer == VoteAnswer::Granted);
}

// Guards against relearning from voters that have been replaced.
TEST_CASE("a restarted voter stays silent if its peers know a floor above the proposer's map")
{
  Voter a = voter();
  VoteRequest asked = request(vm("b"), 1);
  asked.proof.reset();
  a.vote(asked, kAwake);
  for (const VoterStateRequest& question : a.stateRequests(kAwake)) {
    a.onStateReply(learned(question, 6));
  }
  CHECK(a.vote(asked, kAwake).answer == VoteAnswer::Recovering);
}

// Guards against a proof for an earlier run of the voter, whose floors it may have forgotten.
TEST_CASE("a proof counts only for the run of the voter that it names")
{
  Voter a = voter();
  VoteRequest asked = request(vm("b"), 1);
  asked.proof->voterIncarnation = base::Incarnation(2);
  CHECK(a.vote(asked, kAwake).answer == VoteAnswer::Recovering);
}

// Guards against a restarted holder with an old map that renews the vote of its earlier run, for
// which the floor is not checked.
TEST_CASE("a restarted holder cannot continue the term of its earlier run")
{
  Voter a = voter();
  VoteRequest first = request(vm("b", 1), 1);
  first.floor = base::Generation(6);
  CHECK(a.vote(first, kAwake).answer == VoteAnswer::Granted);
  CHECK(a.vote(request(vm("b", 2), 1), kAwake).answer == VoteAnswer::StaleTerm);
  CHECK(a.vote(request(vm("b", 2), 2), kAwake).answer == VoteAnswer::StaleMap);
  CHECK(a.vote(first, kAwake).answer == VoteAnswer::Granted);
}

// Guards against a candidate that takes the tenancy of a live holder because it does not hear it.
TEST_CASE("a voter supports its holder until the vote lapses or the holder resigns")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAwake);
  const VoteReply early = a.vote(request(vm("c"), 2), kAwake + milliseconds(100));
  CHECK(early.answer == VoteAnswer::MustWait);
  CHECK(a.vote(request(vm("c"), 2), kAwake + milliseconds(100) + early.remaining).answer ==
        VoteAnswer::Granted);

  Voter resigned = voter();
  VoteRequest last = request(vm("b"), 1);
  resigned.vote(last, kAwake);
  last.resign = true;
  resigned.vote(last, kAwake);
  CHECK(resigned.vote(request(vm("c"), 2), kAwake).answer == VoteAnswer::Granted);
}

// Guards against two dispatchers of a server that does not check tokens.
TEST_CASE("a new holder of a server that checks no tokens waits until old grants have expired")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAwake);
  VoteRequest next = request(vm("c"), 2);
  next.checksTokens = false;
  CHECK(a.vote(next, kAwake + milliseconds(800)).answer == VoteAnswer::MustWait);
  CHECK(a.vote(next, kAwake + milliseconds(820)).answer == VoteAnswer::Granted);
}

// Guards against a late request of a holder that undoes its own eviction.
TEST_CASE("a term never goes back from Evicted to Active")
{
  Voter a = voter();
  VoteRequest evict = request(vm("b"), 1);
  evict.kind = LeaseKind::Evicted;
  a.vote(request(vm("b"), 1), kAwake);
  CHECK(a.vote(evict, kAwake).answer == VoteAnswer::Granted);
  CHECK(a.vote(request(vm("b"), 1), kAwake).answer == VoteAnswer::StaleTerm);
}

// Guards against a floor that a voter has acknowledged and forgotten before the second one has it.
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

// Guards against a change of voters that is written without support of the new ones.
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
  CHECK_FALSE(quorum.valid(LeaseKind::Active, kStart));
  quorum.add(base::VmId("e"), vote);
  CHECK(quorum.valid(LeaseKind::Active, kStart));
}

// Guards against forgetting a vote while it is in force.
TEST_CASE("a voter forgets a server only after its vote and the grants under it have expired")
{
  Voter a = voter();
  a.vote(request(vm("b"), 1), kAwake);
  CHECK_FALSE(a.forget(base::ServerId("s"), kAwake + milliseconds(800)));
  CHECK(a.forget(base::ServerId("s"), kAwake + milliseconds(820)));
  CHECK(a.size() == 0);
}
