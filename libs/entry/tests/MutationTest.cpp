#include <entry/HttpText.h>
#include <entry/MessageReader.h>
#include <entry/PeerMessage.h>

#include <wire/ServerProtocol.h>

#include <KeyServerTexts.h>
#include <Mutator.h>
#include <ServerTexts.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

constexpr unsigned kMessages = 20000;
constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kHeaderLimit = 4096;
constexpr std::uint64_t kBodyLimit = 8192;

std::vector<PeerMessage> peerMessages()
{
  HeartbeatMessage heartbeat;
  heartbeat.heartbeat = { { base::VmId("vm"), 7, "10.0.0.1" }, 3, true, false };
  heartbeat.rank = 2;
  heartbeat.connectionBreaks = { { 99, "s@1" } };
  heartbeat.lastChangeRevisions = { 1, 2, 3 };
  heartbeat.leavingServers = { { base::ServerId("x"), 4 } };
  heartbeat.limitedServers = { {}, { { { base::ServerId("y"), 4 }, { 2.5 } } }, true };
  heartbeat.loadAggregator = "10.0.0.1";
  HeartbeatMessage heartbeatWithPage = heartbeat;
  heartbeatWithPage.otherLoadAggregators = { "10.0.1.1", "10.0.2.1" };
  heartbeatWithPage.limitedServers.after = base::ServerId("x");
  heartbeatWithPage.limitedServers.isLast = false;
  ReportMessage report;
  report.vm = base::VmId("vm");
  report.domain = base::DomainId("a");
  report.keys[base::ServiceId("s")] = dispatch::KeyReport({ { 1, 2 }, { 3, 4 } }, { { 17, 2 } });
  report.work[base::ServerId("x")] = { 2, std::chrono::milliseconds(30) };
  OwnershipDeltaMessage delta;
  delta.delta.previous = 4;
  delta.delta.revision = 5;
  delta.delta.changes[base::ServiceId("s")] = { { 0, 9, base::ServerId("x"), 1, 2 } };
  ObjectChangeMessage change;
  change.change.part = { 4, 5, 0, 1 };
  change.change.events = { { { "x", 5, false, "{}" }, false }, { { "y", 5, false, "" }, true } };
  change.change.patches = { { "z", 4, 5, false, R"({"a":1})" } };
  return {
    heartbeat,
    heartbeatWithPage,
    report,
    CoordinatorStoppedMessage{ 3, std::chrono::milliseconds(5), std::chrono::milliseconds(7) },
    delta,
    change,
    ForwardMessage{ { "10.0.0.1", "10.0.0.2" }, encodePeerMessage(change) },
    ServerUseMessage{ { { base::ServerId("x"), { 2, { 1, std::chrono::milliseconds(9) } } } },
                      { { base::ServiceId("s"), { { 1, { 4, 2 } } } } } },
    LoadSummaryMessage{
      { { { base::ServerId("x"), { 4, std::chrono::milliseconds(7) } } },
        { { base::ServiceId("s"),
            { { { 1, { 4.5, 2 } } }, { { base::DomainId("a"), { 3, 9, 5 } } } } } },
        3 } },
    DomainSumsMessage{
      base::DomainId("a"),
      { { base::ServiceId("s"), { { { 0, { 7, 0.5 } } }, 12, { { base::DomainId("b"), 6 } } } } } },
    ServerLimitMessage{ { base::ServerId("x"), 4 }, dispatch::RequestLimit{ 2.5 } },
    PermitRequestMessage{ { { { base::ServerId("x"), 4 }, { 2.5 } }, 2, 1 } },
    PermitGrantMessage{ { base::ServerId("x"), 4 }, { 1, std::chrono::milliseconds(80) } }
  };
}

// Writes a request on to a server.
void passOn(const Request& request)
{
  const base::WorkspaceId workspace("w");
  const std::string written =
    writeServerRequest(request, base::ServerId("s"), &workspace, std::chrono::seconds(1));
  CHECK(written.size() >= request.body.size());
}

// Writes an answer on to a caller, and its token to the next owner of keys.
void passOn(ServerAnswer answer)
{
  dispatch::GrantOrder order;
  order.handover = wire::readReleaseAnswer(200, answer.fields).handover;
  CHECK_FALSE(wire::grantBody(order, std::chrono::seconds(1)).empty());
  CHECK_FALSE(writeAnswer(toCallerAnswer(std::move(answer)), false, false).empty());
}

// Feeds a message in random parts, like a connection does. Returns whether messages were read.
template<typename Reader>
bool feedInParts(const std::string& text, Mutator& mutator)
{
  Reader reader;
  reader.start(kHeaderLimit, kBodyLimit);
  std::string buffer;
  bool hasRead = false;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t count = std::min(text.size() - at, 1 + mutator.below(64));
    buffer.append(text, at, count);
    at += count;
    const ReadState state = reader.feed(buffer);
    if (state == ReadState::Failed) {
      return hasRead;
    }
    CHECK(buffer.size() <= text.size());
    if (state == ReadState::Done) {
      hasRead = true;
      CHECK(reader.message().body.size() <= kBodyLimit);
      passOn(reader.take());
      reader.start(kHeaderLimit, kBodyLimit);
    }
  }
  reader.finish();
  return hasRead;
}

} // namespace

TEST_CASE("each message between entry VMs survives encoding and decoding")
{
  for (const PeerMessage& message : peerMessages()) {
    const std::string bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded->index() == message.index());
    CHECK(encodePeerMessage(*decoded) == bytes);
  }
}

// Guards against a datagram that ends the process.
TEST_CASE("malformed datagrams are dropped")
{
  std::vector<std::string> corpus;
  for (const PeerMessage& message : peerMessages()) {
    corpus.push_back(encodePeerMessage(message));
  }
  Mutator mutator(kSeed, corpus);
  unsigned decoded = 0;
  for (unsigned i = 0; i < kMessages; ++i) {
    decoded += decodePeerMessage(mutator.next()) ? 1 : 0;
  }
  CHECK(decoded > kMessages / 100);
}

// Guards against bytes of callers or servers that end the process or pass a limit, when they are
// read or when they are written on.
TEST_CASE("malformed requests and answers are read within the limits or refused")
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n";
  Mutator requests(
    kSeed,
    { "GET /read/x?y=1 HTTP/1.1\r\nHost: a.example\r\n" + requestIdLine("r") + "\r\n",
      "POST /o/x HTTP/1.1\r\nHost: a.example\r\n" + chunked,
      "POST /o/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody" });
  Mutator answers(kSeed,
                  { validAnswer("r", "body"),
                    fullAnswer("r"),
                    releasedAnswer("5c0e7a21d94b36f8"),
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + validAnswer("r", "x"),
                    "HTTP/1.1 200 OK\r\n" + chunked,
                    "HTTP/1.1 200 OK\r\n" + requestIdLine("r") + "\r\nno length" });
  unsigned read = 0;
  for (unsigned i = 0; i < kMessages; ++i) {
    read += feedInParts<RequestReader>(requests.next(), requests) ? 1 : 0;
    read += feedInParts<AnswerReader>(answers.next(), answers) ? 1 : 0;
  }
  CHECK(read > kMessages / 100);
}
