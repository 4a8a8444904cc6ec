#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

// A service that is not divided by key, with two servers held by one entry VM.
struct UnkeyedWorld
{
  UnkeyedWorld()
  {
    vm.dispatchers.insert(makeDispatcher("layout-1", first.address));
    vm.dispatchers.insert(makeDispatcher("layout-2", second.address));
    route(true);
  }

  void route(bool firstAvailable, bool secondAvailable = true)
  {
    auto config = layoutConfig();
    config->services.begin()->second.keyed = false;
    ServerRoute one = routeTo("layout-1", first.address, &vm, vm);
    one.available = firstAvailable;
    ServerRoute two = routeTo("layout-2", second.address, &vm, vm);
    two.available = secondAvailable;
    publish(vm, { one, two }, config);
  }

  FakeBackend first;
  FakeBackend second;
  EntryVm vm{ "vm-a1" };
  Caller caller;
};

} // namespace

TEST_CASE("a retry returns to the server that just failed although another one is free")
{
  UnkeyedWorld world;
  // The first attempt can only go to the first server; the second comes back while it runs.
  world.route(true, false);
  world.first.setWork([&](ServerRequest& request, ServerResponse& response) {
    world.route(true, true);
    FakeBackend::hangUp(request, response);
  });
  CHECK(verdictOf(world.caller.call(world.vm, "/v1/layout/plan", {})) == "ran -");
  CHECK(world.first.count() == 1);
  CHECK(world.second.count() == 1);
}

TEST_CASE("a server that leaves receives new work")
{
  UnkeyedWorld world;
  world.route(false);
  for (int i = 0; i < 20; ++i) {
    CHECK(verdictOf(world.caller.call(world.vm, "/v1/layout/plan", {})) == "ran -");
  }
  CHECK(world.first.count() == 0);
}

TEST_CASE("the resend of a request without a key meets another ledger and runs again")
{
  UnkeyedWorld world;
  for (int i = 0; i < 10; ++i) {
    const std::string id = newId();
    for (const char* attempt : { "1", "2", "3" }) {
      BufferedResponse answer;
      // In progress until the dispatcher has noted the end of the first send.
      CHECK(eventually([&] {
        answer = world.caller.call(world.vm,
                                   "/v1/layout/reset",
                                   { { kRequestIdHeader, id }, { kAttemptHeader, attempt } },
                                   "order");
        return verdictOf(answer) != "unknown in-progress";
      }));
      CHECK(verdictOf(answer) == "ran -");
    }
  }
  CHECK(world.first.count() + world.second.count() == 10);
}

TEST_CASE("a streamed request is sent again without its body")
{
  LocalWorld world(FakeBackend::hangUp);
  const auto answer = world.caller.call(
    world.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, std::string(100'000, 'x'));
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(world.backend.count() == 1);
}
