#include "DispatcherFixture.h"

#include <ServerTexts.h>

#include <doctest/doctest.h>

#include <random>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using End = FakeServer::Reaction::End;

namespace {

// More than the buffers of a connection on the loopback interface take.
constexpr std::size_t kLongUpload = 16UL * 1024 * 1024;

std::string headWithoutLength(const std::string& id,
                              const char* status,
                              const std::string& more = "")
{
  return "HTTP/1.1 " + std::string(status) + "\r\n" + requestIdLine(id) + signatureLine() + more +
         "\r\n";
}

// Lets slow machines finish an upload in time.
void allowTime(DispatcherFixture& fixture)
{
  for (dispatch::Route& route : fixture.configuration().routes) {
    route.targetLatency = std::chrono::seconds(10);
    route.timeout = std::chrono::seconds(10);
  }
}

} // namespace

// Guards against a part of a body that is passed on as a whole one (MIXED): the failed write takes
// the error of the connection, so that the next read shows an orderly end.
TEST_CASE("an answer without a length that ends while the request is being written becomes a 502")
{
  const std::string upload(kLongUpload, 'u');
  for (const End end : { End::Reset, End::Close, End::ShutdownSend }) {
    for (const char* const part : { "", "part of the body" }) {
      for (const auto delay : { milliseconds(0), milliseconds(5), milliseconds(30) }) {
        CAPTURE(static_cast<int>(end));
        CAPTURE(part);
        CAPTURE(delay.count());
        DispatcherFixture fixture;
        FakeServer& server = fixture.addPlainServer([&](const std::string& request) {
          FakeServer::Reaction reaction{ headWithoutLength(requestIdOf(request), "200 OK") + part,
                                         end };
          reaction.endDelay = delay;
          return reaction;
        });
        allowTime(fixture);
        fixture.publish();
        const auto answer = fixture.sendAndAwait("POST", "/order/x", upload);
        REQUIRE(answer);
        CHECK(answer->status == 502);
        CHECK(server.requests().size() == 1);
      }
    }
  }
}

// Guards against a caller that doesn't learn that its request hasn't run, though a server says so.
TEST_CASE("a refusal without a length that ends while the request is being written is a refusal")
{
  DispatcherFixture fixture;
  fixture.addPlainServer([](const std::string& request) {
    return FakeServer::Reaction{
      headWithoutLength(requestIdOf(request), "503 Service Unavailable", notRunLine()) + "full",
      End::ShutdownSend
    };
  });
  allowTime(fixture);
  fixture.publish();
  const auto answer = fixture.sendAndAwait("POST", "/order/x", std::string(kLongUpload, 'u'));
  REQUIRE(answer);
  CHECK(answer->status == 503);
}

TEST_CASE("an answer with its whole body is passed on although the request was not read")
{
  for (const char* const status : { "200 OK", "204 No Content", "304 Not Modified" }) {
    CAPTURE(status);
    DispatcherFixture fixture;
    fixture.addPlainServer([&](const std::string& request) {
      const bool hasBody = status[0] == '2' && status[2] == '0';
      return FakeServer::Reaction{
        headWithoutLength(requestIdOf(request), status, hasBody ? "Content-Length: 5\r\n" : "") +
          (hasBody ? "whole" : ""),
        End::ShutdownSend
      };
    });
    allowTime(fixture);
    fixture.publish();
    const auto answer = fixture.sendAndAwait("POST", "/order/x", std::string(kLongUpload, 'u'));
    REQUIRE(answer);
    CHECK(answer->status == static_cast<unsigned>(std::stoi(status)));
    CHECK(answer->body == (answer->status == 200 ? "whole" : ""));
  }
}

TEST_CASE("an answer without a length is whole at the orderly end of the connection")
{
  for (const char* const body : { "", "the body" }) {
    CAPTURE(body);
    DispatcherFixture fixture;
    fixture.addPlainServer([&](const std::string& request) {
      return FakeServer::Reaction{ headWithoutLength(requestIdOf(request), "200 OK") + body,
                                   End::ShutdownSend };
    });
    fixture.publish();
    const auto answer = fixture.sendAndAwait("POST", "/order/x", "short");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == body);
  }
}

namespace {

// An answer drawn by a seed: in one piece or cut off, with or without a length, and the end of the
// connection after it.
struct DrawnAnswer
{
  std::string body;
  bool hasLength = false;
  bool isChunked = false;
  std::size_t cut = 0;
  FakeServer::Reaction reaction;
  bool isWhole = false;
};

DrawnAnswer drawAnswer(std::mt19937& random)
{
  constexpr std::size_t kBodySizes[]{ 0, 1, 9, 4096, 60'000 };
  constexpr End kEnds[]{ End::Reset, End::Close, End::ShutdownSend };
  DrawnAnswer drawn;
  drawn.body = std::string(kBodySizes[random() % 5], 'b');
  drawn.hasLength = random() % 3 == 0;
  drawn.isChunked = !drawn.hasLength && random() % 2 == 0;
  drawn.reaction.end = kEnds[random() % 3];
  drawn.reaction.endDelay = milliseconds(random() % 4);
  drawn.isWhole = random() % 2 == 0;
  drawn.cut = drawn.isWhole ? drawn.body.size() : random() % (drawn.body.size() + 1);
  drawn.isWhole = drawn.cut == drawn.body.size();
  return drawn;
}

std::string textOf(const DrawnAnswer& drawn, const std::string& id)
{
  const std::string sent = drawn.body.substr(0, drawn.cut);
  if (drawn.hasLength) {
    return headWithoutLength(
             id, "200 OK", "Content-Length: " + std::to_string(drawn.body.size()) + "\r\n") +
           sent;
  }
  if (!drawn.isChunked) {
    return headWithoutLength(id, "200 OK") + sent;
  }
  std::string text = headWithoutLength(id, "200 OK", "Transfer-Encoding: chunked\r\n");
  for (const char c : sent.substr(0, 9)) {
    text += std::string("1\r\n") + c + "\r\n";
  }
  return text + (drawn.isWhole && sent.size() <= 9 ? "0\r\n\r\n" : "");
}

} // namespace

// Guards against any other order of these events that makes a part of a body look whole.
TEST_CASE("a caller gets the whole body that one server sent, or no 2xx")
{
  constexpr std::size_t kUploads[]{ 1, 3000, kLongUpload, kLongUpload };
  for (unsigned seed = 1; seed <= 150; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const DrawnAnswer drawn = drawAnswer(random);
    const std::size_t upload = kUploads[random() % 4];
    const bool isLong = upload == kLongUpload;
    DispatcherFixture fixture;
    fixture.addPlainServer([&](const std::string& request) {
      FakeServer::Reaction reaction = drawn.reaction;
      reaction.bytes = textOf(drawn, requestIdOf(request));
      return reaction;
    });
    allowTime(fixture);
    fixture.publish();
    const char* const path = random() % 2 == 0 ? "/order/x" : "/read/x";
    const auto answer = fixture.sendAndAwait("POST", path, std::string(upload, 'u'));
    REQUIRE(answer);
    const bool isSuccess = answer->status >= 200 && answer->status < 300;
    const bool endShowsWhole = drawn.hasLength || drawn.isChunked || drawn.isWhole;
    // What a server ends in order after it may have read all can't be told from a whole answer.
    if (isSuccess && (endShowsWhole || isLong || drawn.reaction.end == End::Reset)) {
      CAPTURE(answer->body.size());
      const bool isWhole = answer->body == drawn.body;
      CHECK(isWhole);
    }
  }
}
