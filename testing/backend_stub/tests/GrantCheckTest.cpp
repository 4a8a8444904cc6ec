#include "GrantCheck.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sycamore;
using namespace sycamore::backend_stub;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const base::TimePoint kEpoch(1000s);
const base::TimePoint kStart = kEpoch + 10s;

json grantOf(std::uint64_t term, base::TimePoint echo, const json& changes = json::object())
{
  json grant{ { "holder", "vm-a1" },
              { "term", term },
              { "generation", 1 },
              { "echo_ns", echo.time_since_epoch().count() },
              { "ttl_ms", 500 },
              { "service", "layout" },
              { "set_digest", "d1" },
              { "shards", "0-3,7" },
              { "overrides", { "aisle-9" } } };
  grant.update(changes);
  return grant;
}

Work workOn(std::uint32_t shard, std::uint64_t term, const std::string& key = "store-1")
{
  Work work;
  work.key = key;
  work.shard = shard;
  work.term = term;
  return work;
}

struct Fixture
{
  GrantCheck check{ kEpoch, true };

  std::string accept(std::uint64_t term, base::TimePoint echo, const json& changes = json::object())
  {
    return check.accept(grantOf(term, echo, changes), echo + 1ms);
  }
  std::string refusal(const Work& work, base::TimePoint now = kStart + 2ms) const
  {
    return check.refusal(work, now);
  }
};

} // namespace

// Guards against two owners of a key: work outside the granted set must not run.
TEST_CASE_FIXTURE(Fixture, "only granted shards and keys are served")
{
  CHECK(refusal(workOn(0, 1)) == "not-owner");
  CHECK(accept(1, kStart).empty());
  CHECK(refusal(workOn(3, 1)).empty());
  CHECK(refusal(workOn(7, 1)).empty());
  CHECK(refusal(workOn(4, 1)) == "not-owner");
  CHECK(refusal(workOn(256, 1, "aisle-9")).empty());
  CHECK(refusal(workOn(256, 1, "aisle-8")) == "not-owner");
}

// Guards against a delayed grant of a paused lease holder that extends the ownership.
TEST_CASE_FIXTURE(Fixture, "a grant's lifetime starts at the echoed time")
{
  CHECK(check.accept(grantOf(1, kStart), kStart + 400ms).empty());
  CHECK(refusal(workOn(0, 1), kStart + 499ms).empty());
  CHECK(refusal(workOn(0, 1), kStart + 500ms) == "not-owner");
  CHECK(check.accept(grantOf(1, kStart), kStart + 600ms) == "expired");
  CHECK(check.accept(grantOf(1, kStart + 700ms), kStart + 600ms) == "bad-echo");
}

// Guards against a grant that echoes a time from before a restart of the server.
TEST_CASE_FIXTURE(Fixture, "a grant that echoes a time of another incarnation is expired")
{
  CHECK(check.accept(grantOf(1, kEpoch - 1ms), kEpoch + 1ms) == "expired");
  CHECK(refusal(workOn(0, 1), kEpoch + 1ms) == "not-owner");
}

// Guards against a previous lease holder that still grants or dispatches after a new one took over.
TEST_CASE_FIXTURE(Fixture, "a higher term ends the lower one at once")
{
  CHECK(accept(1, kStart).empty());
  CHECK(check.accept(grantOf(2, base::TimePoint{}), kStart + 1ms) == "expired");
  CHECK(refusal(workOn(0, 1)) == "stale-term");
  CHECK(accept(1, kStart + 2ms) == "stale-term");
  CHECK(refusal(workOn(0, 2)) == "not-owner");
  CHECK(accept(2, kStart + 3ms).empty());
  CHECK(refusal(workOn(0, 2), kStart + 5ms).empty());
  CHECK(check.highestTerm() == 2);
}

// Guards against reordered grants that restore shards which have moved to another server.
TEST_CASE_FIXTURE(Fixture, "an older grant of the same term is refused")
{
  CHECK(accept(1, kStart, { { "generation", 5 }, { "shards", "1" } }).empty());
  CHECK(accept(1, kStart + 1ms, { { "generation", 4 } }) == "reordered");
  CHECK(accept(1, kStart - 1ms, { { "generation", 5 } }) == "reordered");
  CHECK(refusal(workOn(0, 1)) == "not-owner");
}

// Guards against a set that is taken from a different grant than the lease holder refers to.
TEST_CASE_FIXTURE(Fixture, "a grant without a set needs the digest of the last one")
{
  json withoutSet = grantOf(1, kStart);
  withoutSet.erase("shards");
  withoutSet.erase("overrides");
  CHECK(check.accept(withoutSet, kStart + 1ms) == "unknown-set");
  CHECK(accept(1, kStart).empty());
  CHECK(check.accept(withoutSet, kStart + 1ms).empty());
  CHECK(refusal(workOn(3, 1)).empty());
  withoutSet["set_digest"] = "d2";
  CHECK(check.accept(withoutSet, kStart + 1ms) == "unknown-set");
}

// Guards against a released shard that is served again because of a grant that was in transit.
TEST_CASE("a released shard is refused until a grant that follows the release")
{
  const base::SteadyClock clock;
  const base::TimePoint start = clock.now();
  GrantCheck check(start - 1s, true);
  const json longLifetime{ { "ttl_ms", 60000 } };
  CHECK(check.accept(grantOf(1, start, longLifetime), start).empty());
  CHECK(check.release({ { "term", 1 }, { "shards", "3" }, { "overrides", { "aisle-9" } } }, start));
  const base::TimePoint after = clock.now() + 1ms;
  CHECK(check.refusal(workOn(3, 1), after) == "not-owner");
  CHECK(check.refusal(workOn(256, 1, "aisle-9"), after) == "not-owner");
  CHECK(check.refusal(workOn(2, 1), after).empty());
  CHECK(check.accept(grantOf(1, start, longLifetime), after).empty());
  CHECK(check.refusal(workOn(3, 1), after) == "not-owner");
  SUBCASE("echo after the release")
  {
    CHECK(check.accept(grantOf(1, after, longLifetime), after).empty());
    CHECK(check.refusal(workOn(3, 1), after).empty());
  }
  SUBCASE("higher generation")
  {
    const json newer{ { "ttl_ms", 60000 }, { "generation", 2 } };
    CHECK(check.accept(grantOf(1, start, newer), after).empty());
    CHECK(check.refusal(workOn(3, 1), after).empty());
  }
  CHECK_FALSE(check.release({ { "term", 2 }, { "shards", "3" } }, after));
}

// Guards against a release that is confirmed while a request still runs, or that aborts the
// request.
TEST_CASE_FIXTURE(Fixture, "a release waits for running work and lets it commit")
{
  const base::SteadyClock clock;
  const base::TimePoint now = clock.now();
  GrantCheck live(now - 1s, true);
  CHECK(live.accept(grantOf(1, now, { { "ttl_ms", 60000 } }), now).empty());
  CHECK(live.begin(workOn(3, 1), now).empty());
  const json release{ { "term", 1 }, { "shards", "3" } };
  CHECK_FALSE(live.release(release, now));
  CHECK(live.begin(workOn(3, 1), clock.now()) == "not-owner");
  CHECK(live.commitRefusal(workOn(3, 1), clock.now()).empty());
  std::thread worker([&] { live.end(workOn(3, 1)); });
  CHECK(live.release(release, now + 20s));
  worker.join();
}

// Guards against a stub that checks tokens although checkTokens is off: tests would then rely on
// checks that such servers do not make.
TEST_CASE("a server that doesn't check tokens refuses no work")
{
  GrantCheck check(kEpoch, false);
  CHECK(check.refusal(workOn(99, 1), kStart).empty());
  CHECK(check.commitRefusal(workOn(99, 1), kStart).empty());
}
