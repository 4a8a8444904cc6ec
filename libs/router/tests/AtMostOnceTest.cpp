#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

TEST_CASE("a non-idempotent request is not sent again once a byte may have been sent")
{
  ForwardingFixture fixture(FakeBackend::closeWithoutAnswer);
  CHECK(verdictOf(fixture.caller.reset(fixture.forwarder, newId())) == "unknown connection-lost");
  CHECK(verdictOf(fixture.caller.reset(fixture.holder, newId())) == "unknown connection-lost");
  CHECK(fixture.backend.count() == 2);
}

TEST_CASE("a resend does not run the request a second time")
{
  ForwardingFixture fixture;
  // The first send and the resend each go directly to the holder or through the forwarding VM.
  for (const EntryVm* first : { &fixture.holder, &fixture.forwarder }) {
    for (const EntryVm* second : { &fixture.holder, &fixture.forwarder }) {
      const std::size_t before = fixture.backend.count();
      const std::string id = newId();
      const auto answer = fixture.caller.reset(*first, id);
      CHECK(verdictOf(answer) == "ran -");
      const auto again = fixture.caller.resend(*second, id, "order", 2);
      CHECK(verdictOf(again) == "ran -");
      CHECK(again.head.status == 200);
      CHECK(again.body == "done");
      CHECK(again.head.header("content-type") == "text/plain");
      CHECK(fixture.backend.count() == before + 1);
    }
  }
}

TEST_CASE("a replayed answer is marked as such by the holder and by a forwarding VM")
{
  ForwardingFixture fixture;
  const std::string id = newId();
  CHECK(!fixture.caller.reset(fixture.forwarder, id).head.header("sycamore-replayed"));
  const auto local = fixture.caller.resend(fixture.holder, id, "order", 2);
  CHECK(local.head.header("sycamore-replayed") == "whole");
  const auto forwarded = fixture.caller.resend(fixture.forwarder, id, "order", 3);
  CHECK(forwarded.head.header("sycamore-replayed") == "whole");
}

TEST_CASE("a backend server cannot mark its answer as replayed")
{
  ForwardingFixture fixture([](ServerRequest&, ServerResponse& response) {
    response.setHeader("Sycamore-Replayed", "whole");
    response.send(200, "done", "text/plain");
  });
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    CHECK(!fixture.caller.reset(*vm, newId()).head.header("sycamore-replayed"));
  }
}

TEST_CASE("a long first answer is replayed without its body instead of truncated")
{
  ForwardingFixture fixture([](ServerRequest&, ServerResponse& response) {
    response.send(201, std::string(17 * 1024, 'a'), "text/plain");
  });
  const std::string id = newId();
  CHECK(fixture.caller.reset(fixture.forwarder, id).body.size() == 17 * 1024);
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const auto again = fixture.caller.resend(*vm, id, "order", 2);
    CHECK(again.head.status == 201);
    CHECK(again.body.empty());
    CHECK(again.head.header("sycamore-replayed") == "without-body");
  }
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a replayed answer to a streamed request does not break the caller's next request")
{
  ForwardingFixture fixture;
  const std::string body(200'000, 'x');
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const std::string id = newId();
    for (unsigned attempt = 1; attempt <= 10; ++attempt) {
      CHECK(verdictOf(fixture.caller.resend(*vm, id, body, attempt)) == "ran -");
    }
  }
  CHECK(fixture.backend.count() == 2);
}

TEST_CASE("an id that is reused with another body is refused, not answered with the first answer")
{
  ForwardingFixture fixture;
  const std::string id = newId();
  CHECK(verdictOf(fixture.caller.reset(fixture.forwarder, id, "first")) == "ran -");
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    CHECK(verdictOf(fixture.caller.reset(*vm, id, "second", 2)) == "not-run bad-request");
  }
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a resend does not run while the first send is still running")
{
  Barrier barrier;
  ForwardingFixture fixture([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::answerOk(request, response);
  });
  const std::string id = newId();
  BufferedResponse first;
  std::thread running([&] {
    Caller caller;
    first = caller.reset(fixture.forwarder, id);
  });
  CHECK(eventually([&] { return fixture.backend.count() == 1; }));
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const auto answer = fixture.caller.reset(*vm, id, "order", 2);
    CHECK(answer.head.status == 409);
    CHECK(verdictOf(answer) == "unknown in-progress");
  }
  barrier.open();
  running.join();
  CHECK(verdictOf(first) == "ran -");
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a resend after an unknown outcome does not run the request again")
{
  SingleVmFixture fixture(FakeBackend::closeWithoutAnswer);
  const std::string id = newId();
  CHECK(verdictOf(fixture.caller.reset(fixture.vm, id)) == "unknown connection-lost");
  fixture.backend.setHandler(FakeBackend::answerOk);
  CHECK(verdictOf(fixture.caller.resend(fixture.vm, id, "order", 2)) == "unknown resend-unknown");
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a resend to a new dispatcher does not run what the previous one may have run")
{
  ForwardingFixture fixture;
  const std::string id = newId();
  CHECK(verdictOf(fixture.caller.reset(fixture.forwarder, id)) == "ran -");
  fixture.holder.dispatchers.remove(base::ServerId("layout-1"));
  fixture.holder.dispatchers.insert(makeDispatcher("layout-1", fixture.backend.address));
  for (const EntryVm* vm : { &fixture.holder, &fixture.forwarder }) {
    const auto answer = fixture.caller.resend(*vm, id, "order", 2);
    CHECK(answer.head.status == 409);
    CHECK(verdictOf(answer) == "unknown resend-unknown");
  }
  CHECK(fixture.backend.count() == 1);
}

TEST_CASE("a request refused by the server may be resent and runs once")
{
  ForwardingFixture fixture(FakeBackend::refuseWith("cold"));
  const std::string id = newId();
  CHECK(verdictOf(fixture.caller.reset(fixture.forwarder, id)) == "not-run cold");
  CHECK(fixture.backend.count() == 1);
  fixture.backend.setHandler(FakeBackend::answerOk);
  CHECK(verdictOf(fixture.caller.resend(fixture.forwarder, id, "order", 2)) != "ran -");
  CHECK(fixture.backend.count() == 1);
  // Marked as a first send, it may run: the deduplication table has removed the id that did not
  // run.
  CHECK(verdictOf(fixture.caller.reset(fixture.forwarder, id)) == "ran -");
  CHECK(fixture.backend.count() == 2);
}
