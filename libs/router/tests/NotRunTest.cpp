#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

TEST_CASE("a malformed request is not reported as possibly run")
{
  SingleVmFixture fixture;
  const HeaderList key{ { kKeyHeader, "store-1" } };
  const std::vector<std::pair<std::string, HeaderList>> bad = {
    { "/v1/layout", key },
    { "/v1/lay%20out/plan", key },
    { "/v1/layout/plan", {} },
    { "/v1/layout/plan", { { kKeyHeader, std::string(513, 'k') } } },
    { "/v1/layout/plan", { { kKeyHeader, "k" }, { kDeadlineHeader, "0" } } },
    { "/v1/layout/plan", { { kKeyHeader, "k" }, { kDeadlineHeader, "3600001" } } },
    { "/v1/layout/plan", { { kKeyHeader, "k" }, { kAttemptHeader, "first" } } },
    { "/v1/layout/plan", { { kKeyHeader, "k" }, { kRequestIdHeader, "7" } } },
    { "/v1/layout/reset", key },
  };
  for (const auto& [path, headers] : bad) {
    CAPTURE(path);
    const auto answer = fixture.caller.call(fixture.vm, path, headers, "order");
    CHECK(answer.head.status == 400);
    CHECK(verdictOf(answer) == "not-run bad-request");
  }
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("an unknown service or method is refused as not run, also with a long body")
{
  SingleVmFixture fixture;
  const HeaderList key{ { kKeyHeader, "store-1" } };
  for (const std::size_t size : { std::size_t(10), std::size_t(300'000) }) {
    const std::string body(size, 'x');
    const auto service = fixture.caller.call(fixture.vm, "/v1/label/plan", key, body);
    CHECK(verdictOf(service) == "not-run unknown-service");
    const auto method = fixture.caller.call(fixture.vm, "/v1/layout/print", key, body);
    CHECK(verdictOf(method) == "not-run unknown-method");
  }
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a body beyond the service's limit does not reach a server")
{
  SingleVmFixture fixture;
  auto config = layoutConfig();
  config->services.begin()->second.limits.bodyBytes = 100;
  publish(
    fixture.vm, { routeTo("layout-1", fixture.backend.address, &fixture.vm, fixture.vm) }, config);
  const auto answer = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, std::string(101, 'x'));
  CHECK(verdictOf(answer) == "not-run bad-request");
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a key without a holder is refused at the deadline as no-owner, not run")
{
  SingleVmFixture fixture;
  publish(fixture.vm, { routeTo("layout-1", fixture.backend.address, nullptr, fixture.vm) });
  const base::TimePoint start = base::SteadyClock().now();
  const auto answer = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "120" } });
  CHECK(verdictOf(answer) == "not-run no-owner");
  CHECK(answer.head.header("retry-after"));
  CHECK(base::SteadyClock().now() - start >= milliseconds(100));
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a request that waits for an owner is served once the owner is known")
{
  SingleVmFixture fixture;
  publish(fixture.vm, { routeTo("layout-1", fixture.backend.address, nullptr, fixture.vm) });
  std::atomic<bool> answered{ false };
  BufferedResponse answer;
  std::thread waiting([&] {
    answer = fixture.caller.call(fixture.vm, "/v1/layout/plan");
    answered = true;
  });
  publish(fixture.vm, { routeTo("layout-1", fixture.backend.address, &fixture.vm, fixture.vm) });
  waiting.join();
  CHECK(answered);
  CHECK(verdictOf(answer) == "ran -");
}

TEST_CASE("a VM that does not hold the server lease refuses a forwarded request without running it")
{
  ForwardingFixture fixture;
  fixture.holder.dispatchers.remove(base::ServerId("layout-1"));
  const auto answer =
    fixture.caller.call(fixture.forwarder,
                        "/v1/layout/plan",
                        { { kKeyHeader, "store-1" }, { kDeadlineHeader, "150" } });
  CHECK(isRefusedUntilDeadline(answer, "not-holder"));
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a request beyond the queue is refused as overloaded and never reaches the server")
{
  Barrier barrier;
  SingleVmFixture fixture([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::answerOk(request, response);
  });
  auto gate = warmGate(1);
  gate.queue.maxLength = 1;
  fixture.dispatcher = makeDispatcher("layout-1", fixture.backend.address, gate);
  fixture.vm.dispatchers.insert(fixture.dispatcher);
  std::vector<std::thread> callers;
  std::atomic<int> ran{ 0 };
  const auto call = [&] {
    Caller caller;
    ran += verdictOf(caller.call(fixture.vm, "/v1/layout/plan")) == "ran -" ? 1 : 0;
  };
  callers.emplace_back(call);
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  callers.emplace_back(call);
  CHECK(eventually([&] { return fixture.dispatcher->queued() == 1; }));
  const std::string id = newId();
  const auto answer = fixture.caller.reset(fixture.vm, id);
  CHECK(verdictOf(answer) == "not-run overloaded");
  CHECK(answer.head.header("retry-after"));
  barrier.open();
  for (auto& thread : callers) {
    thread.join();
  }
  CHECK(ran == 2);
  CHECK(fixture.backend.count() == 2);
  // The deduplication table did not record the refused id: its resend runs.
  CHECK(verdictOf(fixture.caller.reset(fixture.vm, id)) == "ran -");
}

TEST_CASE("a request whose deadline passes in the queue is refused as expired, not run")
{
  Barrier barrier;
  SingleVmFixture fixture(
    [&](ServerRequest& request, ServerResponse& response) {
      barrier.wait();
      FakeBackend::answerOk(request, response);
    },
    1);
  std::thread first([&] {
    Caller caller;
    caller.call(fixture.vm, "/v1/layout/plan");
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  const auto answer = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" }, { kDeadlineHeader, "100" } });
  CHECK(answer.head.status == 504);
  CHECK(verdictOf(answer) == "not-run expired");
  barrier.open();
  first.join();
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a quarantined request does not reach another server")
{
  SingleVmFixture fixture;
  const requests::WorkIdentity work(base::RequestId(newId()),
                                    base::ServiceId("layout"),
                                    base::MethodId("plan"),
                                    "store-1",
                                    "poison");
  for (int crash = 1; crash <= 2; ++crash) {
    fixture.vm.quarantine.recordCrash({ base::ServerId("layout-" + std::to_string(crash)),
                                        base::Incarnation(1),
                                        base::DomainId("a"),
                                        { work } });
  }
  const auto poison =
    fixture.caller.call(fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, "poison");
  CHECK(verdictOf(poison) == "not-run quarantined");
  CHECK(fixture.backend.count() == 0);
  CHECK(verdictOf(fixture.caller.call(fixture.vm, "/v1/layout/plan")) == "ran -");
}

TEST_CASE("a refused connection to the server is reported as not run")
{
  SingleVmFixture fixture;
  fixture.backend.stop();
  const auto answer = fixture.caller.call(
    fixture.vm,
    "/v1/layout/reset",
    { { kKeyHeader, "store-1" }, { kRequestIdHeader, newId() }, { kDeadlineHeader, "150" } },
    "order");
  CHECK(isRefusedUntilDeadline(answer, "connection-lost"));
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a refused connection to the holder is reported as not run")
{
  ForwardingFixture fixture;
  auto route = routeTo("layout-1", fixture.backend.address, &fixture.holder, fixture.forwarder);
  FakeBackend stoppedBackend;
  stoppedBackend.stop();
  route.holderAddress = stoppedBackend.address;
  publish(fixture.forwarder, { route });
  const auto answer = fixture.caller.call(
    fixture.forwarder,
    "/v1/layout/reset",
    { { kKeyHeader, "store-1" }, { kRequestIdHeader, newId() }, { kDeadlineHeader, "150" } },
    "order");
  CHECK(isRefusedUntilDeadline(answer, "connection-lost"));
  CHECK(fixture.backend.count() == 0);
}

TEST_CASE("a refusal before the body was read does not break the caller's next request")
{
  // Guards against closing such a connection without announcing it: the next request on it failed.
  SingleVmFixture fixture;
  constexpr int kRounds = 100;
  int refusals = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto answer =
      fixture.caller.call(fixture.vm, "/v1/label/plan", { { kKeyHeader, "store-1" } }, "order");
    refusals += verdictOf(answer) == "not-run unknown-service" ? 1 : 0;
  }
  CHECK(refusals == kRounds);
}

TEST_CASE("a refusal leaves no unread long body on a connection that stays open")
{
  SingleVmFixture fixture;
  for (int i = 0; i < 10; ++i) {
    const auto answer = fixture.caller.call(
      fixture.vm, "/v1/label/plan", { { kKeyHeader, "store-1" } }, std::string(900'000, 'x'));
    CHECK(verdictOf(answer) == "not-run unknown-service");
  }
}
