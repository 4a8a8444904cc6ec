#include "Capacity.h"
#include "LoadReport.h"
#include "ShardRanges.h"

#include <base/Error.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::backend_stub;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart(1000s);

} // namespace

// Guards against a shard set that is parsed differently than the lease holder wrote it.
TEST_CASE("shard ranges are parsed exactly or rejected")
{
  CHECK(parseShardRanges("").empty());
  CHECK(parseShardRanges("0-2,7,9-9") == std::set<std::uint32_t>{ 0, 1, 2, 7, 9 });
  for (const char* text :
       { "a", "1-", "-1", "1,,2", "1-2-3", " 1", "99999999999", "0-4000000000" }) {
    CHECK_THROWS_AS_MESSAGE(parseShardRanges(text), base::Error, text);
  }
}

// Guards against a stub that executes more requests at once than a real server with slots.
TEST_CASE("requests above the slots are refused and counted")
{
  Capacity capacity({ 2, 1, {} }, kStart);
  std::string reason;
  auto first = capacity.acquire(kStart, reason);
  auto second = capacity.acquire(kStart, reason);
  CHECK(capacity.acquire(kStart, reason) == nullptr);
  CHECK(reason == "overloaded");
  first.reset();
  CHECK(capacity.acquire(kStart, reason) != nullptr);
  CHECK(capacity.counts().at("slots_exceeded") == 1);
}

// Guards against a cold server whose cold period ends although it was overloaded.
TEST_CASE("an overload in the cold period starts the period again")
{
  Capacity capacity({ 4, 1, 10s }, kStart);
  std::string reason;
  const auto slot = capacity.acquire(kStart, reason);
  CHECK(capacity.acquire(kStart + 9s, reason) == nullptr);
  CHECK(reason == "cold");
  CHECK(capacity.isCold(kStart + 18s));
  CHECK_FALSE(capacity.isCold(kStart + 19s));
  CHECK(capacity.acquire(kStart + 19s, reason) != nullptr);
  CHECK(capacity.counts().at("cold_overloads") == 1);
}

// Guards against load reports that are more current than those of real servers.
TEST_CASE("the load report shows the state at the current time minus the lag")
{
  LoadReport report(1s);
  report.record(kStart, 0);
  report.record(kStart + 1s, 5);
  CHECK(report.visible(kStart + 1900ms) == 0);
  CHECK(report.visible(kStart + 2s) == 5);
}
