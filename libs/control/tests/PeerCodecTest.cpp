#include <control/ControlError.h>
#include <control/PeerCodec.h>
#include <doctest/doctest.h>

#include <functional>
#include <random>
#include <rapidcheck.h>

using namespace sycamore;
using namespace sycamore::control;

namespace {

const base::TimePoint kNow{ std::chrono::seconds(5000) };

ownership::HolderId holder(const std::string& vm, std::uint64_t incarnation)
{
  return { base::VmId(vm), base::Incarnation(incarnation) };
}

ownership::VoteRequest voteRequest()
{
  ownership::VoteRequest request;
  request.server = base::ServerId("layout-1");
  request.holder = holder("vm-a1", 7);
  request.term = base::Term(12);
  request.kind = ownership::LeaseKind::Evicted;
  request.generation = base::Generation(30);
  request.rowGeneration = base::Generation(29);
  request.floor = base::Generation(28);
  request.peers = { base::VmId("vm-a2"), base::VmId("vm-b1") };
  request.proof = ownership::FloorProof{ base::Incarnation(3), base::Generation(27) };
  request.resign = true;
  request.askedAt = kNow;
  return request;
}

VoteBatch voteBatch()
{
  const ownership::VoterStateRequest stateRequest{
    base::ServerId("layout-2"), base::VmId("vm-a2"), base::VmId("vm-a1"), base::Incarnation(7), 4
  };
  return { base::VmId("vm-a1"), { voteRequest() }, { stateRequest } };
}

VoteBatchReply voteBatchReply()
{
  ownership::VoteReply reply;
  reply.server = base::ServerId("layout-1");
  reply.holder = holder("vm-a1", 7);
  reply.term = base::Term(12);
  reply.kind = ownership::LeaseKind::Evicted;
  reply.askedAt = kNow;
  reply.voter = base::VmId("vm-a2");
  reply.voterIncarnation = base::Incarnation(9);
  reply.answer = ownership::VoteAnswer::MustWait;
  reply.highestTerm = base::Term(13);
  reply.currentKind = ownership::LeaseKind::Evicted;
  reply.currentRowGeneration = base::Generation(21);
  reply.floor = base::Generation(22);
  reply.remaining = base::milliseconds(-40);
  ownership::VoterStateReply stateReply;
  stateReply.server = base::ServerId("layout-2");
  stateReply.from = base::VmId("vm-a2");
  stateReply.to = base::VmId("vm-a1");
  stateReply.toIncarnation = base::Incarnation(7);
  stateReply.round = 4;
  stateReply.known = true;
  stateReply.term = base::Term(5);
  stateReply.holder = holder("vm-b1", 2);
  stateReply.kind = ownership::LeaseKind::Evicted;
  stateReply.rowGeneration = base::Generation(8);
  stateReply.floor = base::Generation(6);
  return { { reply }, { stateReply } };
}

Heartbeat heartbeat()
{
  Heartbeat message;
  message.from = base::VmId("vm-a1");
  message.incarnation = base::Incarnation(UINT64_MAX);
  message.peerAddress = "127.0.0.1:9000";
  message.domain = base::DomainId("a");
  message.leaving = true;
  HeldLease held;
  held.server = base::ServerId("layout-1");
  held.service = base::ServiceId("layout");
  held.term = base::Term(12);
  held.kind = ownership::LeaseKind::Evicted;
  held.draining = true;
  held.serving = true;
  message.held = { held };
  message.configDigest = "8f3c";
  message.maps[base::ServiceId("layout")] = base::Generation(30);
  message.quarantineDigest = UINT64_MAX;
  return message;
}

PermitQuery permitQuery()
{
  return { base::VmId("vm-a1"), { base::ServerId("layout-1"), base::ServerId("layout-2") } };
}

std::vector<ownership::Permit> permits()
{
  return { { base::ServerId("layout-1"),
             base::ServerId("layout-9"),
             base::Term(12),
             base::Generation(30),
             ownership::ShardSet::parse("0-15,20"),
             base::milliseconds(140) } };
}

ChangeOrder changeOrder()
{
  return { base::ServiceId("layout"),
           base::ServerId("layout-1"),
           base::Generation(30),
           { { base::ShardId(5), base::ServerId("layout-2"), base::ServerId("layout-3") },
             { base::ShardId(6), base::ServerId("layout-2"), base::ServerId() } },
           { { base::ShardId(7), base::ServerId("layout-4") } },
           { base::ShardId(260) },
           { base::VmId("vm-a1"), base::VmId("vm-a2") } };
}

std::vector<requests::QuarantineRecord> quarantine()
{
  const requests::WallTime stamp(base::milliseconds(1700000000123));
  requests::QuarantineRecord record;
  record.subject = "work:00ff";
  record.evidence = { { base::ServerId("layout-1"),
                        base::Incarnation(4),
                        base::DomainId("a"),
                        true,
                        stamp,
                        kNow + std::chrono::seconds(60) } };
  record.clearedAt = stamp - base::milliseconds(5);
  record.clearanceExpiresAt = kNow + std::chrono::seconds(30);
  return { record };
}

// A kind of message: a valid text, and a function that decodes and encodes it again.
struct MessageKind
{
  std::string name;
  std::string text;
  std::function<std::string(const std::string&)> roundTrip;
};

std::vector<MessageKind> kinds()
{
  return {
    { "heartbeat",
      encode(heartbeat()),
      [](const auto& text) { return encode(decodeHeartbeat(text)); } },
    { "votes", encode(voteBatch()), [](const auto& t) { return encode(decodeVoteBatch(t)); } },
    { "vote replies",
      encode(voteBatchReply()),
      [](const auto& text) { return encode(decodeVoteBatchReply(text)); } },
    { "permit query",
      encode(permitQuery()),
      [](const auto& text) { return encode(decodePermitQuery(text)); } },
    { "permits", encode(permits()), [](const auto& t) { return encode(decodePermits(t)); } },
    { "order", encode(changeOrder()), [](const auto& t) { return encode(decodeChangeOrder(t)); } },
    { "quarantine",
      encode(quarantine(), kNow),
      [](const auto& text) { return encode(decodeQuarantine(text, kNow), kNow); } },
  };
}

// Makes one random change: replaces, removes or inserts a byte, or removes a part of the text.
std::string mutate(std::string text, std::mt19937_64& random)
{
  const std::size_t at = random() % text.size();
  switch (random() % 5) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text.erase(at, 1);
      break;
    case 2:
      text.insert(at, 1, text[random() % text.size()]);
      break;
    case 3:
      text.erase(at, random() % 40);
      break;
    default:
      text[at] = "0123456789-\"[]{},:.en"[random() % 21];
  }
  return text;
}

} // namespace

TEST_CASE("messages between entry VMs keep all fields in a round trip")
{
  for (const MessageKind& kind : kinds()) {
    CAPTURE(kind.name);
    CHECK(kind.roundTrip(kind.text) == kind.text);
  }
  // A field that the encoder omits would not show in a comparison of texts: compare fields too.
  const auto request = decodeVoteBatch(encode(voteBatch())).requests.at(0);
  CHECK(request.holder == holder("vm-a1", 7));
  CHECK(request.kind == ownership::LeaseKind::Evicted);
  CHECK(request.rowGeneration == base::Generation(29));
  CHECK(request.peers == voteRequest().peers);
  REQUIRE(request.proof);
  CHECK(request.proof->generation == base::Generation(27));
  CHECK(request.resign);
  CHECK(request.askedAt == kNow);
  const auto reply = decodeVoteBatchReply(encode(voteBatchReply())).replies.at(0);
  CHECK(reply.answer == ownership::VoteAnswer::MustWait);
  CHECK(reply.remaining == base::milliseconds(-40));
  CHECK(reply.voterIncarnation == base::Incarnation(9));
  const Heartbeat message = decodeHeartbeat(encode(heartbeat()));
  CHECK(message.incarnation == base::Incarnation(UINT64_MAX));
  CHECK(message.leaving);
  CHECK(message.held.at(0).draining);
  CHECK(message.held.at(0).serving);
  CHECK(message.maps == heartbeat().maps);
  CHECK(decodePermits(encode(permits())).at(0).shards == permits().at(0).shards);
  CHECK(decodeChangeOrder(encode(changeOrder())).moves.at(1).successor.value().empty());
}

TEST_CASE("a quarantine verdict keeps its remaining time on the receiver's clock")
{
  const base::TimePoint later = kNow + std::chrono::hours(3);
  const auto records = decodeQuarantine(encode(quarantine(), kNow), later);
  CHECK(records.at(0).evidence.at(0).expiresAt == later + std::chrono::seconds(60));
  CHECK(records.at(0).clearanceExpiresAt == later + std::chrono::seconds(30));
  CHECK(records.at(0).clearedAt == quarantine().at(0).clearedAt);
}

TEST_CASE("unknown fields of a newer version are ignored")
{
  for (const MessageKind& kind : kinds()) {
    CAPTURE(kind.name);
    CHECK(kind.roundTrip("{\"newer\":{\"a\":[1]}," + kind.text.substr(1)) == kind.text);
  }
}

TEST_CASE("a vote batch of any content survives a round trip")
{
  const bool holds = rc::check([] {
    VoteBatch batch;
    batch.from = base::VmId("vm-a1");
    const auto count = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < count; ++i) {
      ownership::VoteRequest request;
      // Only printable characters: names are validated earlier, and JSON can't hold other bytes.
      const auto letter = rc::gen::inRange('!', '~');
      request.server = base::ServerId(*rc::gen::container<std::string>(letter));
      request.term = base::Term(*rc::gen::arbitrary<std::uint64_t>());
      request.floor = base::Generation(*rc::gen::arbitrary<std::uint64_t>());
      request.askedAt = base::TimePoint(base::Duration(*rc::gen::arbitrary<std::int64_t>()));
      request.resign = *rc::gen::arbitrary<bool>();
      batch.requests.push_back(request);
    }
    const VoteBatch decoded = decodeVoteBatch(encode(batch));
    RC_ASSERT(decoded.requests.size() == count);
    for (std::size_t i = 0; i < count; ++i) {
      RC_ASSERT(decoded.requests[i].server == batch.requests[i].server);
      RC_ASSERT(decoded.requests[i].term == batch.requests[i].term);
      RC_ASSERT(decoded.requests[i].floor == batch.requests[i].floor);
      RC_ASSERT(decoded.requests[i].askedAt == batch.requests[i].askedAt);
      RC_ASSERT(decoded.requests[i].resign == batch.requests[i].resign);
    }
  });
  CHECK(holds);
}

TEST_CASE("a malformed message raises no other exception than ControlError")
{
  constexpr int kRounds = 20'000;
  std::mt19937_64 random(20261204);
  const std::vector<MessageKind> all = kinds();
  int refused = 0;
  int others = 0;
  for (int i = 0; i < kRounds; ++i) {
    const MessageKind& kind = all[static_cast<std::size_t>(i) % all.size()];
    std::string text = mutate(kind.text, random);
    for (auto more = random() % 3; more > 0 && !text.empty(); --more) {
      text = mutate(text, random);
    }
    try {
      kind.roundTrip(text);
    } catch (const ControlError&) {
      ++refused;
    } catch (const std::exception& error) {
      MESSAGE(kind.name << ": " << error.what() << " for " << text);
      ++others;
    }
  }
  CHECK(others == 0);
  CHECK(refused > kRounds / 4);
}

TEST_CASE("a text that is not a message is refused")
{
  for (const MessageKind& kind : kinds()) {
    CAPTURE(kind.name);
    for (const char* text : { "", "{}", "[]", "null", "7", "\"x\"", "{\"from\":7}", "\xff" }) {
      CHECK_THROWS_AS(kind.roundTrip(text), ControlError);
    }
  }
}

// Guards against a voter on another VM that assumes that a server checks tokens although it does
// not, and therefore doesn't wait until the previous holder's lease has expired.
TEST_CASE("a vote request keeps the flag that its server does not check tokens")
{
  VoteBatch batch = voteBatch();
  batch.requests.at(0).checksTokens = false;
  CHECK_FALSE(decodeVoteBatch(encode(batch)).requests.at(0).checksTokens);
}
