#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

const HeaderList kShortDeadline{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } };

} // namespace

TEST_CASE("a request whose connection was lost after it was sent is not reported as not run")
{
  SingleVmFixture fixture(FakeBackend::closeWithoutAnswer);
  const auto answer = fixture.caller.reset(fixture.vm, newId());
  CHECK(answer.head.status == 502);
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a request without an answer at its deadline is not reported as not run")
{
  Barrier barrier;
  SingleVmFixture fixture([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::closeWithoutAnswer(request, response);
  });
  HeaderList headers = kShortDeadline;
  const std::string id = newId();
  headers.emplace_back(kRequestIdHeader, id);
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/reset", headers);
  CHECK(answer.head.status == 504);
  CHECK(verdictOf(answer) == "unknown timeout");
  CHECK(fixture.backend.count() == 1);
  // The request is cancelled at the server.
  CHECK(fixture.backend.cancels() == std::vector<std::string>{ id });
  barrier.open();
}

TEST_CASE("a truncated answer is neither reported as complete nor retried")
{
  for (const char* method : { "plan", "reset" }) {
    CAPTURE(method);
    SingleVmFixture fixture(FakeBackend::truncateAnswer);
    const auto answer =
      fixture.caller.call(fixture.vm,
                          std::string("/v1/layout/") + method,
                          { { kKeyHeader, "store-1" }, { kRequestIdHeader, newId() } });
    CHECK(answer.result == ExchangeResult::ConnectionLost);
    CHECK(fixture.backend.count() == 1);
    REQUIRE(eventually([&] { return fixture.vm.records().size() == 1; }));
    CHECK(fixture.vm.records()[0].outcome == requests::Outcome::Unknown);
    CHECK(fixture.vm.records()[0].answerTruncated);
  }
}

TEST_CASE("an answer truncated by the server is also truncated through a forwarding VM")
{
  ForwardingFixture fixture(FakeBackend::truncateAnswer);
  const auto answer = fixture.caller.call(fixture.forwarder, "/v1/layout/plan");
  CHECK(answer.result == ExchangeResult::ConnectionLost);
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a connection lost behind a forwarding VM is reported as unknown")
{
  ForwardingFixture fixture(FakeBackend::closeWithoutAnswer);
  const auto answer = fixture.caller.reset(fixture.forwarder, newId());
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("an unknown outcome value is not reported as not run")
{
  SingleVmFixture fixture([](ServerRequest&, ServerResponse& response) {
    response.setHeader(kOutcomeHeader, "perhaps");
    response.send(503, "{}", "application/json");
  });
  const auto answer = fixture.caller.reset(fixture.vm, newId());
  CHECK(verdictOf(answer) == "unknown internal");
}

TEST_CASE("a server's refusal is reported as not run after the allowed attempts")
{
  SingleVmFixture fixture(FakeBackend::refuseWith("overloaded"));
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan");
  CHECK(answer.head.status == 503);
  CHECK(verdictOf(answer) == "not-run overloaded");
  CHECK(fixture.backend.count() == 3);
}

TEST_CASE("a refusal after an attempt that may have run is not reported as not run")
{
  SingleVmFixture fixture;
  fixture.backend.setHandler([&](ServerRequest& request, ServerResponse& response) {
    if (fixture.backend.count() > 1) {
      FakeBackend::refuseWith("overloaded")(request, response);
    } else {
      FakeBackend::closeWithoutAnswer(request, response);
    }
  });
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan");
  CHECK(verdictOf(answer) == "unknown overloaded");
  CHECK(fixture.backend.count() == 3);
}

TEST_CASE("the loss of the owner after an attempt that may have run is not reported as not run")
{
  SingleVmFixture fixture;
  fixture.backend.setHandler([&](ServerRequest& request, ServerResponse& response) {
    publish(fixture.vm, { routeTo("layout-1", fixture.backend.address, nullptr, fixture.vm) });
    FakeBackend::closeWithoutAnswer(request, response);
  });
  HeaderList headers{ { kKeyHeader, "store-1" }, { kDeadlineHeader, "200" } };
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan", headers);
  // The handler uses the VM, and may still run after the deadline.
  fixture.backend.stop();
  CHECK(verdictOf(answer) == "unknown no-owner");
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("an idempotent request that failed once is answered by its retry")
{
  SingleVmFixture fixture;
  fixture.backend.setHandler([&](ServerRequest& request, ServerResponse& response) {
    if (fixture.backend.count() > 1) {
      FakeBackend::answerOk(request, response);
    } else {
      FakeBackend::closeWithoutAnswer(request, response);
    }
  });
  const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan");
  CHECK(verdictOf(answer) == "ran -");
  CHECK(answer.body == "done");
  CHECK(fixture.backend.count() == 2);
}

TEST_CASE("retries against a failing server do not exceed the method's budget")
{
  SingleVmFixture fixture(FakeBackend::refuseWith("overloaded"));
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan");
    CHECK(answer.head.header("sycamore-outcome") == "not-run");
  }
  // The budget allows three retries before the first success.
  CHECK(fixture.backend.count() == kCalls + 3);
}

TEST_CASE("rerouting to a new holder does not use up the attempts of a retry")
{
  SingleVmFixture fixture;
  fixture.vm.dispatchers.remove(base::ServerId("layout-1"));
  fixture.backend.setHandler([&](ServerRequest& request, ServerResponse& response) {
    if (fixture.backend.count() > 1) {
      FakeBackend::answerOk(request, response);
    } else {
      FakeBackend::closeWithoutAnswer(request, response);
    }
  });
  fixture.dispatcher = makeDispatcher("layout-1", fixture.backend.address);
  fixture.dispatcher->setWithheldShards(ownership::ShardSet::parse("0-3"));
  fixture.vm.dispatchers.insert(fixture.dispatcher);
  BufferedResponse answer;
  std::thread calling([&] { answer = fixture.caller.call(fixture.vm, "/v1/layout/plan"); });
  // The request is rerouted several times while its shard is withheld.
  const base::TimePoint until = after(milliseconds(200));
  CHECK(eventually([&] { return base::SteadyClock().now() >= until; }));
  fixture.dispatcher->setWithheldShards({});
  calling.join();
  CHECK(verdictOf(answer) == "ran -");
  CHECK(fixture.backend.count() == 2);
}
