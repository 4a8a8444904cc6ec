#include "DispatcherFixture.h"

#include <ServerTexts.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMemoryBytes = 8 * 1024 * 1024;

struct EndlessAnswer
{
  std::string name;
  // First bytes for a request with this id.
  std::string (*begin)(const std::string& id);
  std::string endless;
};

std::string head(const std::string& id, const std::string& framing)
{
  return "HTTP/1.1 200 OK\r\n" + requestIdLine(id) + signatureLine() + framing;
}

std::vector<EndlessAnswer> endlessAnswers()
{
  const std::string filler(4096, 'x');
  return {
    { "head", [](const std::string& id) { return head(id, "X-Filler: "); }, filler },
    { "header lines",
      [](const std::string& id) { return head(id, ""); },
      "X-Filler: " + filler + "\r\n" },
    { "interim answers",
      [](const std::string&) { return std::string(); },
      "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { "answers to other requests",
      [](const std::string&) { return std::string(); },
      validAnswer("other", filler) },
    { "chunked body",
      [](const std::string& id) { return head(id, "Transfer-Encoding: chunked\r\n\r\n"); },
      "1000\r\n" + filler + "\r\n" },
    { "chunk extension",
      [](const std::string& id) { return head(id, "Transfer-Encoding: chunked\r\n\r\n1;x="); },
      filler },
    { "body without a length", [](const std::string& id) { return head(id, "\r\n"); }, filler },
    { "body with a huge length",
      [](const std::string& id) { return head(id, "Content-Length: 99999999999\r\n\r\n"); },
      filler },
  };
}

} // namespace

// Guards against a server that ends the process by answers that fill its memory.
TEST_CASE("an answer without end is cut off within the memory for answers, and the caller gets 502")
{
  for (const EndlessAnswer& answer : endlessAnswers()) {
    CAPTURE(answer.name);
    DispatcherFixture fixture(kMemoryBytes);
    FakeServer& server = fixture.addPlainServer([&answer](const std::string& request) {
      return FakeServer::Reaction{ answer.begin(requestIdOf(request)),
                                   FakeServer::Reaction::End::KeepOpen,
                                   answer.endless };
    });
    fixture.publish();
    const auto received = fixture.sendAndAwait("POST", "/order/x");
    REQUIRE(received);
    CHECK(received->status == 502);
    CHECK(fixture.runUntil([&] { return server.ended() == server.accepted(); }));
    CHECK(fixture.dispatcher().answerMemory().used() == 0);
  }
}

TEST_CASE("fifty answers without end at once stay within the memory for answers")
{
  DispatcherFixture fixture(kMemoryBytes);
  const EndlessAnswer body = endlessAnswers().at(4);
  for (int i = 0; i < 50; ++i) {
    fixture.addPlainServer([&body](const std::string& request) {
      return FakeServer::Reaction{ body.begin(requestIdOf(request)),
                                   FakeServer::Reaction::End::KeepOpen,
                                   body.endless };
    });
  }
  fixture.publish();
  unsigned answered = 0;
  std::vector<std::shared_ptr<RequestHandler>> handlers;
  for (int i = 0; i < 50; ++i) {
    handlers.push_back(
      fixture.begin(fixture.request("POST", "/order/x", ""), [&answered](const CallerAnswer& a) {
        CHECK(a.status >= 500);
        ++answered;
      }));
  }
  const BufferQuota& memory = fixture.dispatcher().answerMemory();
  std::uint64_t peak = 0;
  CHECK(fixture.runUntil([&] {
    peak = std::max(peak, memory.used());
    return answered == 50;
  }));
  CHECK(peak <= memory.limit());
  CHECK(memory.used() == 0);
}

// Guards against answers without end that leave no memory for the answers to other callers.
TEST_CASE("callers of other servers are served while fifty answers without end hold memory")
{
  constexpr std::size_t kHeldBytes = 24000;
  DispatcherFixture fixture(kMemoryBytes);
  for (int i = 0; i < 50; ++i) {
    fixture.addPlainServer([](const std::string& request) {
      return FakeServer::Reaction{ head(requestIdOf(request), "\r\n") +
                                     std::string(kHeldBytes, 'x'),
                                   FakeServer::Reaction::End::KeepOpen,
                                   "x",
                                   milliseconds(50) };
    });
  }
  fixture.addKeyedServer([](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), std::string(15000, 'x')) };
  });
  fixture.publish();
  std::vector<std::shared_ptr<RequestHandler>> handlers;
  for (int i = 0; i < 50; ++i) {
    handlers.push_back(
      fixture.begin(fixture.request("POST", "/order/x", ""), [](const CallerAnswer&) {}));
  }
  const BufferQuota& memory = fixture.dispatcher().answerMemory();
  REQUIRE(fixture.runUntil([&] { return memory.used() > memory.limit() / 10 * 9; }));
  const auto received = fixture.sendAndAwait("GET", "/keyed/x");
  REQUIRE(received);
  CHECK(received->status == 200);
}

// Guards against a connection that stays busy as long as a server keeps sending.
TEST_CASE("an answer that trickles ends at the route's timeout")
{
  DispatcherFixture fixture;
  FakeServer& server = fixture.addPlainServer([](const std::string& request) {
    return FakeServer::Reaction{
      head(requestIdOf(request), "\r\n"), FakeServer::Reaction::End::KeepOpen, "x", milliseconds(10)
    };
  });
  fixture.publish();
  const auto received = fixture.sendAndAwait("POST", "/order/x");
  REQUIRE(received);
  CHECK(received->status == 504);
  CHECK(fixture.runUntil([&] { return server.ended() == 1; }));
}

TEST_CASE("bytes without end behind a complete answer don't keep it from the caller")
{
  DispatcherFixture fixture;
  FakeServer& server = fixture.addPlainServer([](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "whole"),
                                 FakeServer::Reaction::End::KeepOpen,
                                 std::string(4096, 'x') };
  });
  fixture.publish();
  for (int i = 0; i < 2; ++i) {
    const auto received = fixture.sendAndAwait("POST", "/order/x");
    REQUIRE(received);
    CHECK(received->body == "whole");
  }
  CHECK(fixture.runUntil([&] { return server.ended() == 2; }));
}

TEST_CASE("the memory of an answer is held until the caller has got it")
{
  DispatcherFixture fixture;
  fixture.addPlainServer([](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), std::string(10000, 'x')) };
  });
  fixture.publish();
  auto received = fixture.sendAndAwait("POST", "/order/x");
  REQUIRE(received);
  CHECK(fixture.dispatcher().answerMemory().used() > 10000);
  received.reset();
  CHECK(fixture.dispatcher().answerMemory().used() == 0);
}
