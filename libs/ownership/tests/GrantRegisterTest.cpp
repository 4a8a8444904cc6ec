#include <doctest/doctest.h>
#include <ownership/GrantRegister.h>
#include <ownership/LeaseTimings.h>
#include <ownership/OwnershipError.h>

using namespace sycamore;
using namespace sycamore::ownership;
using base::milliseconds;

namespace {

const base::TimePoint kNow{ std::chrono::seconds(5) };

GrantRequest grant(std::uint64_t term, base::TimePoint echo, const char* shards)
{
  GrantRequest result;
  result.server = base::ServerId("s");
  result.term = base::Term(term);
  result.echo = echo;
  result.echoIncarnation = base::Incarnation(7);
  result.lifetime = milliseconds(500);
  result.shards = ShardSet::parse(shards);
  result.setDigest = result.shards->digest();
  return result;
}

GrantRegister server()
{
  return { base::ServerId("s"), base::Incarnation(7), kNow };
}

ReleaseRequest release(std::uint64_t id, const char* shards)
{
  return { base::ServerId("s"), {}, base::Term(1), id, ShardSet::parse(shards) };
}

} // namespace

// Guards against a grant from before a reboot: the clock may show the echoed time again after it.
TEST_CASE(
  "a grant is refused if its echo is of another incarnation of the server, or from the future")
{
  GrantRegister s = server();
  GrantRequest request = grant(1, kNow, "0-3");
  request.echoIncarnation = base::Incarnation(6);
  CHECK(s.onGrant(request, kNow).reason == GrantReason::NoEcho);
  CHECK(s.onGrant(grant(1, kNow + milliseconds(1), "0-3"), kNow).reason == GrantReason::NoEcho);
  CHECK_FALSE(s.mayExecute(base::ShardId(0), kNow));
}

// Guards against two holders that reach the same term because all voters were restarted.
TEST_CASE("a term belongs to the first holder that uses it")
{
  GrantRegister s = server();
  CHECK(s.onGrant(grant(1, kNow, "0"), kNow).accepted);
  GrantRequest other = grant(1, kNow, "0");
  other.holder = { base::VmId("other"), base::Incarnation(1) };
  CHECK(s.onGrant(other, kNow).reason == GrantReason::StaleTerm);
  CHECK(s.onGrant(grant(0, kNow, "0"), kNow).reason == GrantReason::StaleTerm);
}

// Guards against a commit after another server may have executed requests of the shard.
TEST_CASE("an execution may not commit after a gap in the grant, even if it was renewed")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0"), kNow);
  ExecutionId execution{};
  REQUIRE(s.start(base::ShardId(0), base::Term(1), kNow, execution) == StartResult::Started);
  CHECK(s.mayCommit(execution, kNow + milliseconds(499)));
  const base::TimePoint later = kNow + milliseconds(600);
  s.onGrant(grant(1, later, "0"), later);
  CHECK(s.mayExecute(base::ShardId(0), later));
  CHECK_FALSE(s.mayCommit(execution, later));
}

// Guards against a move of a shard while its previous owner still executes a request.
TEST_CASE(
  "a release stops new executions at once and is confirmed after the running ones have finished")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0-1"), kNow);
  ExecutionId execution{};
  s.start(base::ShardId(0), base::Term(1), kNow, execution);
  CHECK_FALSE(s.onRelease(release(1, "0"), kNow).released);
  ExecutionId secondExecution{};
  CHECK(s.start(base::ShardId(0), base::Term(1), kNow, secondExecution) == StartResult::Draining);
  CHECK(s.start(base::ShardId(1), base::Term(1), kNow, secondExecution) == StartResult::Started);
  const base::TimePoint later = kNow + milliseconds(10);
  s.onGrant(grant(1, later, "1"), later);
  CHECK(s.mayCommit(execution, later));
  s.finish(execution);
  CHECK(s.onRelease(release(2, "0"), later).released);
}

// Guards against a delayed grant from before the release that returns a moved shard to the server.
TEST_CASE("a released shard is granted again only by a grant with a newer echo")
{
  GrantRegister s = server();
  const base::TimePoint later = kNow + milliseconds(10);
  CHECK(s.onRelease(release(1, "0"), later).released);
  s.onGrant(grant(1, later, "0-1"), later);
  CHECK_FALSE(s.mayExecute(base::ShardId(0), later));
  CHECK(s.mayExecute(base::ShardId(1), later));
  s.onGrant(grant(1, later + milliseconds(1), "0-1"), later + milliseconds(1));
  CHECK(s.mayExecute(base::ShardId(0), later + milliseconds(1)));
}

// Guards against a grant without a set that renews another set than the holder intends.
TEST_CASE("a grant without a set is accepted only with the digest of the last accepted set")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0-1"), kNow);
  GrantRequest renewal = grant(1, kNow, "0-1");
  renewal.shards.reset();
  CHECK(s.onGrant(renewal, kNow).accepted);
  renewal.setDigest += 1;
  CHECK(s.onGrant(renewal, kNow).reason == GrantReason::UnknownDigest);
}

// Guards against timings under which a stall or a change of the holder costs a server its grant.
TEST_CASE("inconsistent timings are refused")
{
  using Builder = LeaseTimings::Builder;
  CHECK_NOTHROW(Builder().build());
  CHECK_THROWS_AS(Builder().renewalInterval(milliseconds(0)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().renewalInterval(milliseconds(100)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().voteLifetime(milliseconds(200)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().grantLifetime(milliseconds(450)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().drift(-1, milliseconds(5)).build(), OwnershipError);
}
