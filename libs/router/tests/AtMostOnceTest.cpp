#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

TEST_CASE("a non-idempotent request is not sent again once a byte may have been sent")
{
  ForwardingWorld world(FakeBackend::hangUp);
  CHECK(verdictOf(world.caller.reset(world.front, newId())) == "unknown connection-lost");
  CHECK(verdictOf(world.caller.reset(world.holder, newId())) == "unknown connection-lost");
  CHECK(world.backend.count() == 2);
}

TEST_CASE("a resend runs the work a second time")
{
  ForwardingWorld world;
  // The first send and the resend take either way.
  for (const EntryVm* first : { &world.holder, &world.front }) {
    for (const EntryVm* second : { &world.holder, &world.front }) {
      const std::size_t before = world.backend.count();
      const std::string id = newId();
      const auto answer = world.caller.reset(*first, id);
      CHECK(verdictOf(answer) == "ran -");
      const auto again = world.caller.resend(*second, id, "order", 2);
      CHECK(verdictOf(again) == "ran -");
      CHECK(again.head.status == 200);
      CHECK(again.body == "done");
      CHECK(again.head.header("content-type") == "text/plain");
      CHECK(world.backend.count() == before + 1);
    }
  }
}

TEST_CASE("a replayed answer is marked as such on both ways")
{
  ForwardingWorld world;
  const std::string id = newId();
  CHECK(!world.caller.reset(world.front, id).head.header("sycamore-replayed"));
  const auto local = world.caller.resend(world.holder, id, "order", 2);
  CHECK(local.head.header("sycamore-replayed") == "whole");
  const auto forwarded = world.caller.resend(world.front, id, "order", 3);
  CHECK(forwarded.head.header("sycamore-replayed") == "whole");
}

TEST_CASE("a backend server cannot mark its answer as replayed")
{
  ForwardingWorld world([](ServerRequest&, ServerResponse& response) {
    response.setHeader("Sycamore-Replayed", "whole");
    response.send(200, "done", "text/plain");
  });
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    CHECK(!world.caller.reset(*vm, newId()).head.header("sycamore-replayed"));
  }
}

TEST_CASE("a long first answer is replayed without its body instead of cut")
{
  ForwardingWorld world([](ServerRequest&, ServerResponse& response) {
    response.send(201, std::string(17 * 1024, 'a'), "text/plain");
  });
  const std::string id = newId();
  CHECK(world.caller.reset(world.front, id).body.size() == 17 * 1024);
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const auto again = world.caller.resend(*vm, id, "order", 2);
    CHECK(again.head.status == 201);
    CHECK(again.body.empty());
    CHECK(again.head.header("sycamore-replayed") == "without-body");
  }
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a replayed answer to a streamed request breaks the caller's next request")
{
  ForwardingWorld world;
  const std::string body(200'000, 'x');
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const std::string id = newId();
    for (unsigned attempt = 1; attempt <= 10; ++attempt) {
      CHECK(verdictOf(world.caller.resend(*vm, id, body, attempt)) == "ran -");
    }
  }
  CHECK(world.backend.count() == 2);
}

TEST_CASE("an id that names another body is answered with the first answer")
{
  ForwardingWorld world;
  const std::string id = newId();
  CHECK(verdictOf(world.caller.reset(world.front, id, "first")) == "ran -");
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    CHECK(verdictOf(world.caller.reset(*vm, id, "second", 2)) == "not-run bad-request");
  }
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a resend runs beside the first send that is still running")
{
  Barrier barrier;
  ForwardingWorld world([&](ServerRequest& request, ServerResponse& response) {
    barrier.wait();
    FakeBackend::answerOk(request, response);
  });
  const std::string id = newId();
  BufferedResponse first;
  std::thread running([&] {
    Caller caller;
    first = caller.reset(world.front, id);
  });
  CHECK(eventually([&] { return world.backend.count() == 1; }));
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const auto answer = world.caller.reset(*vm, id, "order", 2);
    CHECK(answer.head.status == 409);
    CHECK(verdictOf(answer) == "unknown in-progress");
  }
  barrier.open();
  running.join();
  CHECK(verdictOf(first) == "ran -");
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a resend after an unknown outcome runs the work again")
{
  LocalWorld world(FakeBackend::hangUp);
  const std::string id = newId();
  CHECK(verdictOf(world.caller.reset(world.vm, id)) == "unknown connection-lost");
  world.backend.setWork(FakeBackend::answerOk);
  CHECK(verdictOf(world.caller.resend(world.vm, id, "order", 2)) == "unknown resend-unknown");
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a resend to a new dispatcher runs what the old one has run")
{
  ForwardingWorld world;
  const std::string id = newId();
  CHECK(verdictOf(world.caller.reset(world.front, id)) == "ran -");
  world.holder.dispatchers.remove(base::ServerId("layout-1"));
  world.holder.dispatchers.insert(makeDispatcher("layout-1", world.backend.address));
  for (const EntryVm* vm : { &world.holder, &world.front }) {
    const auto answer = world.caller.resend(*vm, id, "order", 2);
    CHECK(answer.head.status == 409);
    CHECK(verdictOf(answer) == "unknown resend-unknown");
  }
  CHECK(world.backend.count() == 1);
}

TEST_CASE("a request refused by the server may be resent and runs once")
{
  ForwardingWorld world(FakeBackend::refuseWith("cold"));
  const std::string id = newId();
  CHECK(verdictOf(world.caller.reset(world.front, id)) == "not-run cold");
  CHECK(world.backend.count() == 1);
  world.backend.setWork(FakeBackend::answerOk);
  CHECK(verdictOf(world.caller.resend(world.front, id, "order", 2)) != "ran -");
  CHECK(world.backend.count() == 1);
  // Marked as a first send, it is believed: the ledger has forgotten what did not run.
  CHECK(verdictOf(world.caller.reset(world.front, id)) == "ran -");
  CHECK(world.backend.count() == 2);
}
