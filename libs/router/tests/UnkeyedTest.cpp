#include "RouterFixture.h"

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;

namespace {

// A service that is not sharded by key, with two servers whose leases one entry VM holds.
struct UnkeyedFixture
{
  UnkeyedFixture()
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

TEST_CASE("a retry avoids the server that just failed if another one is available")
{
  UnkeyedFixture fixture;
  // The first attempt can only go to the first server; the second server becomes available while it
  // runs.
  fixture.route(true, false);
  fixture.first.setHandler([&](ServerRequest& request, ServerResponse& response) {
    fixture.route(true, true);
    FakeBackend::closeWithoutAnswer(request, response);
  });
  CHECK(verdictOf(fixture.caller.call(fixture.vm, "/v1/layout/plan", {})) == "ran -");
  CHECK(fixture.first.count() == 1);
  CHECK(fixture.second.count() == 1);
}

TEST_CASE("a server that is leaving receives no new requests")
{
  UnkeyedFixture fixture;
  fixture.route(false);
  for (int i = 0; i < 20; ++i) {
    CHECK(verdictOf(fixture.caller.call(fixture.vm, "/v1/layout/plan", {})) == "ran -");
  }
  CHECK(fixture.first.count() == 0);
}

TEST_CASE("a resend without a key reaches the same deduplication table and does not run again")
{
  UnkeyedFixture fixture;
  for (int i = 0; i < 10; ++i) {
    const std::string id = newId();
    for (const char* attempt : { "1", "2", "3" }) {
      BufferedResponse answer;
      // Refused as in-progress until the dispatcher has recorded the end of the first send.
      CHECK(eventually([&] {
        answer = fixture.caller.call(fixture.vm,
                                     "/v1/layout/reset",
                                     { { kRequestIdHeader, id }, { kAttemptHeader, attempt } },
                                     "order");
        return verdictOf(answer) != "unknown in-progress";
      }));
      CHECK(verdictOf(answer) == "ran -");
    }
  }
  CHECK(fixture.first.count() + fixture.second.count() == 10);
}

TEST_CASE("a streamed request is not sent again without its body")
{
  SingleVmFixture fixture(FakeBackend::closeWithoutAnswer);
  const auto answer = fixture.caller.call(
    fixture.vm, "/v1/layout/plan", { { kKeyHeader, "store-1" } }, std::string(100'000, 'x'));
  CHECK(verdictOf(answer) == "unknown connection-lost");
  CHECK(fixture.backend.count() == 1);
}
