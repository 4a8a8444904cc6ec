#include "ScriptedTransport.h"

#include <doctest/doctest.h>
#include <platform/ObjectClient.h>

using namespace sycamore;
using namespace sycamore::platform;
using nlohmann::json;

namespace {

const base::TimePoint kDeadline(std::chrono::seconds(2000));
const json kMine{ { "writer", "vm-a1/1" }, { "generation", 8 } };
const json kOther{ { "writer", "vm-b1/9" }, { "generation", 8 } };

std::string object(std::uint64_t version, const json& value)
{
  return json{
    { "kind", "shardmap" }, { "name", "layout" }, { "version", version }, { "value", value }
  }.dump();
}

struct Fixture
{
  ScriptedTransport transport;
  base::ManualClock clock;
  ObjectClient<ScriptedTransport, base::ManualClock> client{ transport, clock };

  WriteResult put() { return client.put("shardmap", "layout", base::Version(7), kMine, kDeadline); }
};

base::Version confirmed(const WriteResult& result)
{
  REQUIRE(std::holds_alternative<Confirmed>(result));
  return std::get<Confirmed>(result).version;
}

} // namespace

static_assert(ObjectStore<ObjectClient<ScriptedTransport>>);

// Guards against an unconditional write.
TEST_CASE_FIXTURE(Fixture, "a put sends the expected version")
{
  transport.answer(200, R"({"version":12})");
  CHECK(confirmed(put()) == base::Version(12));
  REQUIRE(transport.calls.size() == 1);
  CHECK(transport.calls[0].method == "PUT");
  CHECK(transport.calls[0].target == "/objects/shardmap/layout?if_version=7");
  CHECK(json::parse(transport.calls[0].body) == kMine);
}

// Guards against a shard assignment that took effect but is reported as failed or is made twice.
TEST_CASE_FIXTURE(Fixture, "a lost answer to a write that took effect is confirmed by its token")
{
  transport.fail(true);
  transport.answer(200, object(12, kMine));
  CHECK(confirmed(put()) == base::Version(12));
  CHECK(transport.calls.size() == 2);
}

// Guards against a write that is acknowledged because of another writer's assignment.
TEST_CASE_FIXTURE(Fixture, "a lost answer followed by another write is a conflict")
{
  transport.fail(true);
  transport.answer(200, object(12, kOther));
  const WriteResult result = put();
  REQUIRE(std::holds_alternative<Conflict>(result));
  CHECK(std::get<Conflict>(result).current.value == kOther);
  CHECK(std::get<Conflict>(result).maybeOverwritten);
}

// Guards against a write that is reported as failed while it is in flight and takes effect later.
TEST_CASE_FIXTURE(Fixture, "an unchanged object after a lost answer is written again")
{
  transport.fail(true);
  transport.answer(200, object(7, kOther));
  SUBCASE("the second write takes effect")
  {
    transport.answer(200, R"({"version":13})");
    CHECK(confirmed(put()) == base::Version(13));
  }
  SUBCASE("the first write arrives before the second")
  {
    transport.answer(409, object(12, kMine));
    CHECK(confirmed(put()) == base::Version(12));
  }
  SUBCASE("another write arrives before the second")
  {
    transport.answer(409, object(12, kOther));
    const WriteResult result = put();
    REQUIRE(std::holds_alternative<Conflict>(result));
    CHECK(std::get<Conflict>(result).maybeOverwritten);
  }
  SUBCASE("the second answer is lost too")
  {
    transport.fail(true);
    CHECK(std::holds_alternative<InDoubt>(put()));
  }
  CHECK(transport.calls.at(2).body == transport.calls.at(0).body);
  CHECK(client.callsMade() == 3);
}

// Guards against a write in doubt that is reported as failed because of an outage.
TEST_CASE_FIXTURE(Fixture, "a write stays in doubt while it can't be read back")
{
  transport.fail(true);
  SUBCASE("unreachable")
  {
    transport.fail(false);
  }
  SUBCASE("rate limited")
  {
    transport.answer(429, "");
  }
  SUBCASE("server error")
  {
    transport.answer(503, "");
  }
  SUBCASE("malformed")
  {
    transport.answer(200, "{}");
  }
  CHECK(std::holds_alternative<InDoubt>(put()));
  transport.answer(200, object(12, kMine));
  CHECK(confirmed(client.resolveInDoubt(
          "shardmap", "layout", base::Version(7), kMine, kDeadline)) == base::Version(12));
}

// Guards against an answer that leaves the outcome open but is treated as a refusal.
TEST_CASE_FIXTURE(Fixture, "server errors and malformed answers to a write leave it in doubt")
{
  SUBCASE("server error")
  {
    transport.answer(500, "oops");
  }
  SUBCASE("malformed")
  {
    transport.answer(200, "{\"version\":");
  }
  SUBCASE("malformed conflict")
  {
    transport.answer(409, "[]");
  }
  transport.answer(200, object(12, kMine));
  CHECK(confirmed(put()) == base::Version(12));
}

// Guards against a creation in doubt that is repeated without the condition that the object is
// absent.
TEST_CASE_FIXTURE(Fixture, "a creation in doubt is repeated on condition that the object is absent")
{
  transport.fail(true);
  transport.answer(404, "");
  transport.answer(200, R"({"version":3})");
  CHECK(confirmed(client.put("shardmap", "layout", base::Version(0), kMine, kDeadline)) ==
        base::Version(3));
  CHECK(transport.calls.at(2).target == "/objects/shardmap/layout?if_version=0");
}

// Guards against an object that was deleted in between and is treated as unchanged.
TEST_CASE_FIXTURE(Fixture,
                  "a write in doubt of an object that was deleted in between is a conflict")
{
  transport.fail(true);
  transport.answer(404, "");
  const WriteResult result = put();
  REQUIRE(std::holds_alternative<Conflict>(result));
  CHECK(std::get<Conflict>(result).current.version == base::Version(0));
}

// Guards against unnecessary reads, and against a known outcome that is reported as in doubt.
TEST_CASE_FIXTURE(Fixture, "writes that certainly had no effect are not reported as in doubt")
{
  SUBCASE("conflict")
  {
    transport.answer(409, object(9, kOther));
    const WriteResult result = put();
    REQUIRE(std::holds_alternative<Conflict>(result));
    CHECK_FALSE(std::get<Conflict>(result).maybeOverwritten);
  }
  SUBCASE("never sent")
  {
    transport.fail(false);
    CHECK_THROWS_AS(put(), Unavailable);
  }
  SUBCASE("rate limited")
  {
    transport.answer(429, "");
    CHECK_THROWS_AS(put(), RateLimited);
  }
  SUBCASE("too large")
  {
    transport.answer(413, "");
    CHECK_THROWS_AS(put(), CallRefused);
  }
  CHECK(transport.calls.size() == 1);
}

// Guards against a write whose outcome could not be resolved after a lost answer.
TEST_CASE_FIXTURE(Fixture, "a value without a writer token is refused before it is sent")
{
  for (const json& value :
       { json{ { "a", 1 } }, json{ { "writer", "" } }, json::array(), json() }) {
    CHECK_THROWS_AS(client.put("config", "a", base::Version(0), value, kDeadline), CallRefused);
  }
  CHECK(transport.calls.empty());
}

// Guards against a name that, unencoded in the path, addresses another object.
TEST_CASE_FIXTURE(Fixture, "names that need encoding are refused")
{
  for (const char* name : { "", "a/b", "a?if_version=1", "a b", "\xc3\xa9" }) {
    CHECK_THROWS_AS(client.get("config", name, kDeadline), CallRefused);
  }
}

// Guards against a watch that the platform answers only after its deadline.
TEST_CASE_FIXTURE(Fixture, "a watch asks the platform to answer before the deadline")
{
  transport.answer(200, R"({"revision":5,"objects":[],"deleted":["x"]})");
  const auto changes = client.watch("config", Revision(4), clock.now() + std::chrono::seconds(4));
  CHECK(transport.calls[0].target == "/watch/config?after=4&timeout_ms=3000");
  CHECK(changes.revision == Revision(5));
  CHECK(changes.deleted == std::vector<std::string>{ "x" });
  transport.answer(410, "");
  CHECK_THROWS_AS(client.watch("config", Revision(9), kDeadline), RevisionUnknown);
}

// Guards against a malformed list of VMs that is read as an empty or partial one.
TEST_CASE_FIXTURE(Fixture, "a malformed list of VMs is an error")
{
  transport.answer(200, R"({"vms":[{"id":"vm-a1","role":"entry","address":"127.0.0.1:1",
    "peer_address":"127.0.0.1:2","operator_address":"127.0.0.1:3","domain":"a","state":"leaving"}]})");
  const auto vms = client.listVms(kDeadline);
  REQUIRE(vms.size() == 1);
  CHECK(vms[0].state == VmRecord::State::Leaving);
  CHECK(vms[0].peerAddress == "127.0.0.1:2");
  for (const char* body :
       { "{}", R"({"vms":[{"id":"x"}]})", R"({"vms":[{"id":"x","role":"lead"}]})", "" }) {
    transport.answer(200, body);
    CHECK_THROWS_AS(client.listVms(kDeadline), MalformedAnswer);
  }
}
