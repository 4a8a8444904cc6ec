#include "RawCaller.h"
#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

// Returns a body of pseudo-random bytes, so that a lost or repeated part is detected.
std::string longBody()
{
  std::string body(20 << 20, '\0');
  std::uint32_t state = 1;
  for (char& c : body) {
    state = state * 1664525 + 1013904223;
    c = static_cast<char>(state >> 24);
  }
  return body;
}

} // namespace

TEST_CASE("a long body passes two entry VMs completely and unchanged")
{
  const std::string body = longBody();
  ForwardingFixture fixture;
  fixture.backend.setHandler([&](ServerRequest&, ServerResponse& response) {
    response.begin(200, std::nullopt);
    const std::string sent = fixture.backend.received().back().body;
    for (std::size_t at = 0; at < sent.size(); at += 100'000) {
      response.write(std::string_view(sent).substr(at, 100'000));
    }
    response.end();
  });
  const auto answer =
    fixture.caller.call(fixture.forwarder, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, body);
  CHECK(answer.result == ExchangeResult::Complete);
  REQUIRE(fixture.backend.count() == 1);
  CHECK((fixture.backend.received()[0].body == body));
  CHECK((answer.body == body));
}

TEST_CASE("a caller's hop-by-hop and reserved headers do not reach the server")
{
  ForwardingFixture fixture;
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const std::string id = newId();
    fixture.caller.call(*vm,
                        "/v1/layout/plan/aisle%207?full=1",
                        { { kKeyHeader, "store-1" },
                          { kRequestIdHeader, id },
                          { kTermHeader, "99" },
                          { kShardHeader, "77" },
                          { kServiceHeader, "label" },
                          { kOutcomeHeader, "ran" },
                          { "TE", "trailers" },
                          { "Keep-Alive", "timeout=5" },
                          { "Connection", "keep-alive, X-One-Hop" },
                          { "X-One-Hop", "1" },
                          { "X-Store", "Norte, 7" },
                          { "Content-Type", "text/plain" } },
                        "body");
    const ReceivedRequest seen = fixture.backend.received().back();
    CHECK(seen.method == "POST");
    CHECK(seen.target == "/v1/layout/plan/aisle%207?full=1");
    CHECK(seen.body == "body");
    CHECK(seen.header(kKeyHeader) == "store-1");
    CHECK(seen.header(kRequestIdHeader) == id);
    CHECK(seen.header(kTermHeader) == "1");
    CHECK(seen.header(kShardHeader).value_or("77") != "77");
    CHECK(seen.header(kServiceHeader) == "layout");
    CHECK(seen.header(kMethodHeader) == "plan");
    CHECK(seen.header(kDeadlineHeader));
    CHECK(!seen.header(kOutcomeHeader));
    CHECK(!seen.header("TE"));
    CHECK(!seen.header("Keep-Alive"));
    CHECK(!seen.header("X-One-Hop"));
    CHECK(seen.header("X-Store") == "Norte, 7");
    CHECK(seen.header("Content-Type") == "text/plain");
  }
}

TEST_CASE("an answer keeps its end-to-end headers and loses its hop-by-hop headers")
{
  ForwardingFixture fixture([](ServerRequest&, ServerResponse& response) {
    response.setHeader("X-Shelf", "12");
    response.setHeader("Connection", "X-One-Hop");
    response.setHeader("X-One-Hop", "1");
    response.setHeader(kServerHeader, "layout-77");
    response.send(418, "pot", "text/plain");
  });
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const auto answer = fixture.caller.call(*vm, "/v1/layout/plan");
    CHECK(answer.head.status == 418);
    CHECK(answer.body == "pot");
    CHECK(answer.head.header("x-shelf") == "12");
    CHECK(!answer.head.header("x-one-hop"));
    CHECK(answer.head.header("content-type") == "text/plain");
    CHECK(answer.head.header("sycamore-outcome") == "ran");
    CHECK(answer.head.header("sycamore-server") == "layout-1");
  }
}

TEST_CASE("a forwarded request with a truncated body does not run")
{
  ForwardingFixture fixture;
  RawCaller raw(fixture.holder.peerAddress);
  raw.send("POST /peer/dispatch/v1/layout/plan HTTP/1.1\r\nHost: peer\r\nContent-Length: 10\r\n"
           "Sycamore-Key: store-1\r\nSycamore-Server: layout-1\r\nSycamore-Shard: 1\r\n"
           "Sycamore-Deadline-Ms: 2000\r\n\r\nord");
  raw.endSending();
  const std::string answer = raw.readAll();
  CHECK(answer.find("200 OK") == std::string::npos);
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a caller's request with a truncated body does not run")
{
  SingleVmFixture fixture;
  RawCaller raw(fixture.vm.address);
  raw.send("POST /v1/layout/plan HTTP/1.1\r\nHost: vm\r\nContent-Length: 10\r\n"
           "Sycamore-Key: store-1\r\n\r\nord");
  raw.endSending();
  raw.readAll();
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("the request of a disconnected caller is cancelled at the server")
{
  for (const bool forwarded : { false, true }) {
    CAPTURE(forwarded);
    Barrier barrier;
    ForwardingFixture fixture([&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::closeWithoutAnswer(request, response);
    });
    const std::string id = newId();
    {
      RawCaller raw(forwarded ? fixture.forwarder.address : fixture.holder.address);
      raw.send("POST /v1/layout/reset HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n"
               "Sycamore-Key: store-1\r\nSycamore-Request-Id: " +
               id + "\r\n\r\n");
      CHECK(eventually([&] { return fixture.backend.count() == 1; }));
      CHECK(fixture.dispatcher->inFlight() == 1);
    }
    CHECK(eventually([&] { return !fixture.backend.cancels().empty(); }));
    CHECK(fixture.backend.cancels() == std::vector<std::string>{ id });
    CHECK(eventually([&] { return fixture.dispatcher->inFlight() == 0; }));
    CHECK(fixture.backend.running == 1);
    barrier.open();
  }
}

TEST_CASE("the slot of a cancelled request stays held while the request may still run")
{
  Barrier barrier;
  SingleVmFixture fixture(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::closeWithoutAnswer(request, response);
    },
    1);
  fixture.backend.confirmsCancel = false;
  const base::TimePoint deadline = after(milliseconds(800));
  {
    RawCaller raw(fixture.vm.address);
    raw.send("POST /v1/layout/plan HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n"
             "Sycamore-Key: store-1\r\nSycamore-Deadline-Ms: 800\r\n\r\n");
    CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  }
  CHECK(eventually([&] { return !fixture.backend.cancels().empty(); }));
  const auto other = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } });
  CHECK(other.head.header("sycamore-outcome") == "not-run");
  CHECK(fixture.backend.count() == 1);
  fixture.backend.setHandler(FakeBackend::answerOk);
  // The slot is free again once the server must have stopped the request.
  CHECK(verdictOf(fixture.caller.call(fixture.vm, "/v1/layout/plan")) == "ran -");
  CHECK(base::SteadyClock().now() >= deadline);
  barrier.open();
}
