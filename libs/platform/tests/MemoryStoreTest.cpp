#include <doctest/doctest.h>
#include <platform_testing/MemoryStore.h>
#include <thread>

using namespace sycamore;
using namespace sycamore::platform;
using namespace std::chrono_literals;
using platform_testing::MemoryStore;

namespace {

const nlohmann::json kValue{ { "writer", "vm-a1/1" } };

base::TimePoint in(base::Duration time)
{
  return base::SteadyClock().now() + time;
}

} // namespace

// Guards against an in-memory store that accepts calls that the platform refuses.
TEST_CASE("the memory store checks versions as the platform does")
{
  MemoryStore store;
  const auto created = std::get<Confirmed>(store.put("config", "a", {}, kValue, in(1s))).version;
  CHECK(std::holds_alternative<Conflict>(store.put("config", "a", {}, kValue, in(1s))));
  CHECK(std::holds_alternative<Confirmed>(store.remove("config", "a", created, in(1s))));
  CHECK(std::holds_alternative<Conflict>(store.remove("config", "a", created, in(1s))));
  const auto again = std::get<Confirmed>(store.put("config", "a", {}, kValue, in(1s))).version;
  CHECK(again > created);
  CHECK(store.watch("config", Revision(0), in(1s)).objects.size() == 1);
  CHECK_THROWS_AS(store.watch("config", Revision(99), in(1s)), RevisionUnknown);
  CHECK_THROWS_AS(store.put("config", "a", again, nlohmann::json::object(), in(1s)), CallRefused);
}

// Guards against tests of writes in doubt that pass because the store doesn't simulate them.
TEST_CASE("puts in doubt can be resolved once the store is up")
{
  for (const bool applied : { true, false }) {
    MemoryStore store;
    store.leaveNextPutsInDoubt(1, applied);
    CHECK(std::holds_alternative<InDoubt>(store.put("config", "a", {}, kValue, in(1s))));
    CHECK(store.get("config", "a", in(1s)).has_value() == applied);
    store.setDown(true);
    CHECK(std::holds_alternative<InDoubt>(store.resolveInDoubt("config", "a", {}, kValue, in(1s))));
    store.setDown(false);
    CHECK(
      std::holds_alternative<Confirmed>(store.resolveInDoubt("config", "a", {}, kValue, in(1s))));
  }
}

// Guards against a watch that misses a change or an outage.
TEST_CASE("a watch returns on a change and fails on an outage")
{
  MemoryStore store;
  std::thread writer([&] { store.put("config", "a", {}, kValue, in(1s)); });
  CHECK(store.watch("config", Revision(0), in(10s)).objects.size() == 1);
  writer.join();
  std::thread breaker([&] { store.setDown(true); });
  CHECK_THROWS_AS(store.watch("config", Revision(1), in(10s)), Unavailable);
  breaker.join();
}
