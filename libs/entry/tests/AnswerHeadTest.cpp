#include "DispatcherFixture.h"

#include <entry/HttpText.h>

#include <ServerTexts.h>
#include <base_testing/FaultyHeads.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

constexpr std::uint32_t kHeaderLimit = 65536;
constexpr std::uint64_t kBodyLimit = 65536;

// Returns the start of a 200 with everything that a usable answer needs but a length.
std::string start(const std::string& id)
{
  return "HTTP/1.1 200 OK\r\n" + requestIdLine(id) + signatureLine();
}

// Returns the rests of messages that have one fault each, in the head or the trailer.
std::vector<std::string> faultyRests()
{
  std::vector<std::string> rests = base::testing::faultyHeads();
  const auto& trailers = base::testing::faultyTrailers();
  rests.insert(rests.end(), trailers.begin(), trailers.end());
  return rests;
}

template<typename Reader>
ReadState readInPieces(const std::string& text, std::size_t piece)
{
  Reader reader;
  reader.start(kHeaderLimit, kBodyLimit);
  std::string buffer;
  ReadState state = ReadState::NeedMore;
  for (std::size_t at = 0; at < text.size() && state == ReadState::NeedMore; at += piece) {
    buffer += text.substr(at, piece);
    state = reader.feed(buffer);
  }
  return state;
}

} // namespace

// Guards against a body that isn't the server's, and against fields that callers read otherwise
// than this VM did (MIXED).
TEST_CASE("an answer with a head that can't be taken becomes a 502 and ends its connection")
{
  for (const std::string& rest : faultyRests()) {
    CAPTURE(rest);
    DispatcherFixture fixture;
    FakeServer& server = fixture.addPlainServer([&](const std::string& request) {
      return FakeServer::Reaction{ start(requestIdOf(request)) + rest };
    });
    fixture.publish();
    const auto answer = fixture.sendAndAwait("POST", "/order/x", "body");
    REQUIRE(answer);
    CHECK(answer->status == 502);
    CHECK(server.requests().size() == 1);
    CHECK(fixture.runUntil([&] { return server.ended() == 1; }));
    CHECK(fixture.dispatcher().counts().unreadableAnswers == 1);
  }
}

// Guards against a head that is taken or not, depending on how it arrives.
TEST_CASE("an answer with a head that can't be taken is refused in whatever pieces it arrives")
{
  for (const std::string& rest : faultyRests()) {
    CAPTURE(rest);
    for (const std::size_t piece : { 1U, 2U, 7U, 1000U }) {
      CAPTURE(piece);
      CHECK(readInPieces<AnswerReader>(start("r1") + rest, piece) == ReadState::Failed);
    }
  }
}

// Guards against a request whose end this VM finds elsewhere than the server or another proxy.
TEST_CASE("a request with a head that can't be taken is refused, whatever the size of its lines")
{
  for (const std::string& rest : faultyRests()) {
    CAPTURE(rest);
    for (const std::size_t piece : { 1U, 1000U }) {
      CHECK(readInPieces<RequestReader>("POST /x HTTP/1.1\r\nHost: a\r\n" + rest, piece) ==
            ReadState::Failed);
    }
  }
}

TEST_CASE("an answer whose coding is chunked alone is passed on")
{
  for (const char* const coding : { "chunked", "Chunked", " chunked " }) {
    CAPTURE(coding);
    DispatcherFixture fixture;
    fixture.addPlainServer([&](const std::string& request) {
      return FakeServer::Reaction{ start(requestIdOf(request)) + "Transfer-Encoding:" + coding +
                                   "\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n" };
    });
    fixture.publish();
    const auto answer = fixture.sendAndAwait("POST", "/order/x", "body");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "ok");
  }
}

// Guards against bytes that this VM takes for a part of a field and a caller for something else.
TEST_CASE("a byte in the name or value of a field is passed on truly, or the answer is refused")
{
  for (int byte = 0; byte < 256; ++byte) {
    const std::string text(1, static_cast<char>(byte));
    for (const std::string& field : { text + "N: v",
                                      "N" + text + "M: v",
                                      "N" + text + ": v",
                                      "N: " + text + "v",
                                      "N: v" + text + "w",
                                      "N: v" + text }) {
      CAPTURE(byte);
      CAPTURE(field);
      AnswerReader reader;
      reader.start(kHeaderLimit, kBodyLimit);
      std::string buffer =
        "HTTP/1.1 200 OK\r\nA: 1\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok";
      if (reader.feed(buffer) != ReadState::Done) {
        continue;
      }
      CHECK(buffer.empty());
      CHECK(reader.message().fields.size() == 3);
      CHECK(reader.message().body == "ok");
      const CallerAnswer answer = toCallerAnswer(reader.take());
      std::string written = writeAnswer(answer, false, false);
      CHECK(written.find(field.substr(0, field.find(':'))) != std::string::npos);
      AnswerReader second;
      second.start(kHeaderLimit, kBodyLimit);
      CHECK(second.feed(written) == ReadState::Done);
      CHECK(toCallerAnswer(second.take()).headers == answer.headers);
    }
  }
}
