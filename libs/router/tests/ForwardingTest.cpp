#include "RawCaller.h"
#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

// Bytes that differ along the body, so that a lost or repeated part shows.
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

TEST_CASE("a long body is cut, repeated or held back on its way through two entry VMs")
{
  const std::string body = longBody();
  ForwardingWorld world;
  world.backend.setWork([&](ServerRequest&, ServerResponse& response) {
    response.begin(200, std::nullopt);
    const std::string sent = world.backend.received().back().body;
    for (std::size_t at = 0; at < sent.size(); at += 100'000) {
      response.write(std::string_view(sent).substr(at, 100'000));
    }
    response.end();
  });
  const auto answer =
    world.caller.call(world.front, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, body);
  CHECK(answer.result == ExchangeResult::Complete);
  REQUIRE(world.backend.count() == 1);
  CHECK((world.backend.received()[0].body == body));
  CHECK((answer.body == body));
}

TEST_CASE("headers of the protocol or of one connection reach the server from a caller")
{
  ForwardingWorld world;
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const std::string id = newId();
    world.caller.call(*vm,
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
    const Received seen = world.backend.received().back();
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

TEST_CASE("an answer loses its own headers or keeps those of one connection")
{
  ForwardingWorld world([](ServerRequest&, ServerResponse& response) {
    response.setHeader("X-Shelf", "12");
    response.setHeader("Connection", "X-One-Hop");
    response.setHeader("X-One-Hop", "1");
    response.setHeader(kServerHeader, "layout-77");
    response.send(418, "pot", "text/plain");
  });
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const auto answer = world.caller.call(*vm, "/v1/layout/plan");
    CHECK(answer.head.status == 418);
    CHECK(answer.body == "pot");
    CHECK(answer.head.header("x-shelf") == "12");
    CHECK(!answer.head.header("x-one-hop"));
    CHECK(answer.head.header("content-type") == "text/plain");
    CHECK(answer.head.header("sycamore-outcome") == "ran");
    CHECK(answer.head.header("sycamore-server") == "layout-1");
  }
}

TEST_CASE("a forwarded request whose body breaks off runs with an empty body")
{
  ForwardingWorld world;
  RawCaller raw(world.holder.peerAddress);
  raw.send("POST /peer/dispatch/v1/layout/plan HTTP/1.1\r\nHost: peer\r\nContent-Length: 10\r\n"
           "Sycamore-Key: store-1\r\nSycamore-Server: layout-1\r\nSycamore-Shard: 1\r\n"
           "Sycamore-Deadline-Ms: 2000\r\n\r\nord");
  raw.endSending();
  const std::string answer = raw.readAll();
  CHECK(answer.find("200 OK") == std::string::npos);
  CHECK(world.backend.count() == 0);
}

TEST_CASE("a caller's request whose body breaks off runs with an empty body")
{
  LocalWorld world;
  RawCaller raw(world.vm.address);
  raw.send("POST /v1/layout/plan HTTP/1.1\r\nHost: vm\r\nContent-Length: 10\r\n"
           "Sycamore-Key: store-1\r\n\r\nord");
  raw.endSending();
  raw.readAll();
  CHECK(world.backend.count() == 0);
}

TEST_CASE("the work of a caller that left goes on at the server")
{
  for (const bool forwarded : { false, true }) {
    CAPTURE(forwarded);
    Barrier barrier;
    ForwardingWorld world([&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::hangUp(request, response);
    });
    const std::string id = newId();
    {
      RawCaller raw(forwarded ? world.front.address : world.holder.address);
      raw.send("POST /v1/layout/reset HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n"
               "Sycamore-Key: store-1\r\nSycamore-Request-Id: " +
               id + "\r\n\r\n");
      CHECK(eventually([&] { return world.backend.count() == 1; }));
      CHECK(world.dispatcher->inFlight() == 1);
    }
    CHECK(eventually([&] { return !world.backend.cancels().empty(); }));
    CHECK(world.backend.cancels() == std::vector<std::string>{ id });
    CHECK(eventually([&] { return world.dispatcher->inFlight() == 0; }));
    CHECK(world.backend.running == 1);
    barrier.open();
  }
}

TEST_CASE("the slot of cancelled work is free while the work may still run")
{
  Barrier barrier;
  LocalWorld world(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::hangUp(request, response);
    },
    1);
  world.backend.confirmsCancel = false;
  const base::TimePoint deadline = after(milliseconds(800));
  {
    RawCaller raw(world.vm.address);
    raw.send("POST /v1/layout/plan HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n"
             "Sycamore-Key: store-1\r\nSycamore-Deadline-Ms: 800\r\n\r\n");
    CHECK(eventually([&] { return world.backend.count() == 1; }));
  }
  CHECK(eventually([&] { return !world.backend.cancels().empty(); }));
  const auto other = world.caller.call(
    world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } });
  CHECK(other.head.header("sycamore-outcome") == "not-run");
  CHECK(world.backend.count() == 1);
  world.backend.setWork(FakeBackend::answerOk);
  // The slot is free again once the server must have ended the work.
  CHECK(verdictOf(world.caller.call(world.vm, "/v1/layout/plan")) == "ran -");
  CHECK(base::SteadyClock().now() >= deadline);
  barrier.open();
}
