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

// Guards against a grant from before a reboot, whose echo the new clock may show again.
TEST_CASE("an echo of another run of the server, or from the future, grants nothing")
{
  GrantRegister s = server();
  GrantRequest request = grant(1, kNow, "0-3");
  request.echoIncarnation = base::Incarnation(6);
  CHECK(s.onGrant(request, kNow).reason == GrantReason::NoEcho);
  CHECK(s.onGrant(grant(1, kNow + milliseconds(1), "0-3"), kNow).reason == GrantReason::NoEcho);
  CHECK_FALSE(s.mayExecute(base::ShardId(0), kNow));
}

// Guards against two holders that reached the same term because all voters were restarted.
TEST_CASE("a term belongs to the first holder that uses it")
{
  GrantRegister s = server();
  CHECK(s.onGrant(grant(1, kNow, "0"), kNow).accepted);
  GrantRequest other = grant(1, kNow, "0");
  other.holder = { base::VmId("other"), base::Incarnation(1) };
  CHECK(s.onGrant(other, kNow).reason == GrantReason::StaleTerm);
  CHECK(s.onGrant(grant(0, kNow, "0"), kNow).reason == GrantReason::StaleTerm);
}

// Guards against a commit after another server may have run the shard.
TEST_CASE("an execution may not commit after a gap in the grant, even if it was renewed")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0"), kNow);
  ExecutionId run{};
  REQUIRE(s.start(base::ShardId(0), base::Term(1), kNow, run) == StartResult::Started);
  CHECK(s.mayCommit(run, kNow + milliseconds(499)));
  const base::TimePoint later = kNow + milliseconds(600);
  s.onGrant(grant(1, later, "0"), later);
  CHECK(s.mayExecute(base::ShardId(0), later));
  CHECK_FALSE(s.mayCommit(run, later));
}

// Guards against a shard that is moved while its old server still runs a request.
TEST_CASE("a release is confirmed after the running work, and stops new work at once")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0-1"), kNow);
  ExecutionId run{};
  s.start(base::ShardId(0), base::Term(1), kNow, run);
  CHECK_FALSE(s.onRelease(release(1, "0"), kNow).released);
  ExecutionId second{};
  CHECK(s.start(base::ShardId(0), base::Term(1), kNow, second) == StartResult::Draining);
  CHECK(s.start(base::ShardId(1), base::Term(1), kNow, second) == StartResult::Started);
  const base::TimePoint later = kNow + milliseconds(10);
  s.onGrant(grant(1, later, "1"), later);
  CHECK(s.mayCommit(run, later));
  s.finish(run);
  CHECK(s.onRelease(release(2, "0"), later).released);
}

// Guards against a grant, delayed since before the release, that brings a moved shard back.
TEST_CASE("a released shard comes back only by a grant with a newer echo")
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

// Guards against an omitted set that stands for another one.
TEST_CASE("an omitted set needs the digest of the last accepted one")
{
  GrantRegister s = server();
  s.onGrant(grant(1, kNow, "0-1"), kNow);
  GrantRequest renewal = grant(1, kNow, "0-1");
  renewal.shards.reset();
  CHECK(s.onGrant(renewal, kNow).accepted);
  renewal.setDigest += 1;
  CHECK(s.onGrant(renewal, kNow).reason == GrantReason::UnknownDigest);
}

// Guards against timings under which a stall or a change of holder costs a server its grant.
TEST_CASE("contradictory timings are refused")
{
  using Builder = LeaseTimings::Builder;
  CHECK_NOTHROW(Builder().build());
  CHECK_THROWS_AS(Builder().renewalInterval(milliseconds(0)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().renewalInterval(milliseconds(100)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().voteLifetime(milliseconds(200)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().grantLifetime(milliseconds(450)).build(), OwnershipError);
  CHECK_THROWS_AS(Builder().drift(-1, milliseconds(5)).build(), OwnershipError);
}
