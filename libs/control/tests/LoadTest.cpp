#include "../src/LoadPlanning.h"
#include "../src/LoadReportTable.h"

#include <control/ControlError.h>
#include <control/LoadCodec.h>
#include <control/LoadRecorder.h>
#include <placement/MapServerList.h>
#include <placement/PlacementPlanner.h>
#include <placement/PlanApplication.h>

#include <doctest/doctest.h>

#include <thread>

using namespace sycamore::control;
using namespace sycamore::placement;
using namespace std::chrono_literals;
using sycamore::base::DomainId;
using sycamore::base::Generation;
using sycamore::base::Key;
using sycamore::base::ServerId;
using sycamore::base::ServiceId;
using sycamore::base::ShardId;
using sycamore::base::TimePoint;
using sycamore::base::VmId;

namespace {

const ServiceId kService("layout");
const TimePoint kStart{ std::chrono::hours(1) };
const Key kHot("aisle-9");

std::vector<ServerView> views()
{
  std::vector<ServerView> views;
  for (int i = 0; i < 4; ++i) {
    views.push_back({ ServerId("layout-" + std::to_string(i)), "127.0.0.1:9", DomainId("a") });
  }
  return views;
}

ShardMap initialMap()
{
  const std::vector<EntryVm> vms{ { VmId("vm-1"), DomainId("a") } };
  return createInitialMap(kService, 16, views(), vms, VoterMode::Hold, "test");
}

// 100 requests/s, of which 60 are for the hot key; the rest is spread evenly over all shards.
ServiceLoad loadOf(const ShardMap& map, double hotRate = 60)
{
  ServiceLoad load;
  load.service = kService;
  load.generation = map.generation();
  map.forEachShard([&](ShardId shard, const ShardRow&) { load.rates[shard] = 2.5; });
  load.rates[map.shardOf(kHot)] += hotRate;
  load.hotKeys.totalRate = 40 + hotRate;
  load.hotKeys.entries = { { kHot, hotRate, 0 } };
  return load;
}

} // namespace

// Guards against requests that are lost between the counting threads and the reporting thread.
TEST_CASE("requests of all threads are counted exactly once")
{
  LoadRecorder recorder;
  recorder.take(kStart);
  std::vector<std::thread> threads;
  for (int i = 0; i < 12; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 100; ++n) {
        recorder.record(kService, kHot, ShardId(3), kStart);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto loads = recorder.take(kStart + 2s);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].service == kService);
  CHECK(loads[0].rates.at(ShardId(3)) == doctest::Approx(600));
  REQUIRE(!loads[0].hotKeys.entries.empty());
  CHECK(loads[0].hotKeys.entries[0].key == kHot);
  CHECK(recorder.take(kStart + 3s).empty());
}

// Guards against reports that grow with unused shards or services.
TEST_CASE("a load report contains only busy shards and survives a round trip")
{
  LoadReport report{ VmId("vm-1"), { loadOf(initialMap()) } };
  report.services[0].rates[ShardId(1)] = 0.01;
  const LoadReport read = decodeLoadReport(encode(report));
  CHECK(read.from == report.from);
  CHECK(read.services.at(0).generation == Generation(1));
  CHECK(read.services[0].rates.size() == 15);
  CHECK(read.services[0].hotKeys == report.services[0].hotKeys);
}

// Guards against a malformed report that ends the control thread or corrupts the sums.
TEST_CASE("a malformed load report is refused")
{
  CHECK_THROWS_AS(decodeLoadReport("[]"), ControlError);
  CHECK_THROWS_AS(decodeLoadReport(R"({"from":"vm-1","services":[{"service":"layout"}]})"),
                  ControlError);
  const std::string negative =
    R"({"from":"vm-1","services":[{"service":"layout","generation":1,"rates":[[1,-5]],)"
    R"("hot":{"total":0,"missing":0,"keys":[]}}]})";
  CHECK_THROWS_AS(decodeLoadReport(negative), ControlError);
}

// Guards against using the load of a single entry VM as the total load.
TEST_CASE("the load of a shard is the sum over entry VMs, each VM's latest report once")
{
  const ShardMap map = initialMap();
  LoadReportTable table;
  table.record(VmId("vm-1"), loadOf(map), kStart);
  table.record(VmId("vm-1"), loadOf(map), kStart + 1s);
  table.record(VmId("vm-2"), loadOf(map), kStart + 1s);
  CHECK(table.sum(map, kStart + 1s).rates.at(map.shardOf(kHot)) == doctest::Approx(125));
  CHECK(table.sum(map, kStart + 1s).hotKeys.entries.at(0).rate == doctest::Approx(120));
  CHECK(table.sum(map, kStart + 4s).total == 0);
}

// Guards against counting the load of a key for another key that reuses its index.
TEST_CASE("a report made before an override existed doesn't count for the override")
{
  const ShardMap map = initialMap();
  Plan plan;
  plan.splits.push_back(kHot);
  const ShardMap next = applyPlan(map, plan, "test");
  ServiceLoad old = loadOf(map);
  old.rates[next.shardOf(kHot)] = 7;
  LoadReportTable table;
  table.record(VmId("vm-1"), old, kStart);
  CHECK(table.sum(next, kStart).rates.count(next.shardOf(kHot)) == 0);
}

// Guards against a hot key that is never split out, and against a planner that still counts the
// key's load for its home shard after the split.
TEST_CASE("a key that takes most requests of two entry VMs is split out with its load")
{
  const ShardMap map = initialMap();
  LoadPlanning planning(16);
  TimePoint now = kStart;
  for (int second = 0; second <= 3; ++second, now += 1s) {
    planning.recordReport(VmId("vm-1"), loadOf(map), now);
    planning.recordReport(VmId("vm-2"), loadOf(map), now);
    planning.refresh(map, 4, now);
  }
  REQUIRE(planning.hotKeys().hot == std::vector<Key>{ kHot });
  const OwnershipHistory history;
  const auto servers = views();
  const PlanRequest request{
    map, servers, {}, planning.loads(), history, planning.hotKeys().hot, planning.hotKeys().cooled
  };
  const Plan plan = PlacementPlanner().plan(request, now);
  REQUIRE(plan.splits == std::vector<Key>{ kHot });
  Plan splits;
  splits.splits = plan.splits;
  const ShardMap next = applyPlan(map, splits, "test");
  const double before = planning.loads().load(map.shardOf(kHot));
  planning.mapChanged(map, next, now);
  CHECK(planning.loads().load(next.shardOf(kHot)) == doctest::Approx(120));
  CHECK(planning.loads().load(next.homeShardOf(kHot)) == std::max(0.0, before - 120));

  Plan merges;
  merges.merges.push_back(next.shardOf(kHot));
  planning.mapChanged(next, applyPlan(next, merges, "test"), now);
  CHECK(planning.loads().load(map.shardOf(kHot)) == doctest::Approx(std::max(before, 120.0)));
}

// Guards against moving shards because of random differences in the first reports, and against a
// lasting difference that never gets full weight.
TEST_CASE("a load difference between shards gains weight as more requests are counted")
{
  const ShardMap map = initialMap();
  LoadPlanning planning(16);
  ServiceLoad uneven = loadOf(map, 2.5);
  const ShardId busier = map.shardOf(kHot);
  const ShardId other((busier.value() + 1) % 16);
  const auto ratioAfter = [&](int from, int to) {
    for (int second = from; second <= to; ++second) {
      planning.recordReport(VmId("vm-1"), uneven, kStart + second * 1s);
      planning.refresh(map, 4, kStart + second * 1s);
    }
    return planning.loads().load(busier) / planning.loads().load(other);
  };
  CHECK(ratioAfter(0, 2) < 1.2);
  CHECK(ratioAfter(3, 600) == doctest::Approx(2.0).epsilon(0.15));
}

// Guards against rebalancing a service that is idle at night, whose shards would move back by day.
TEST_CASE("a service whose traffic stops keeps its loads")
{
  const ShardMap map = initialMap();
  LoadPlanning planning(16);
  for (int second = 0; second <= 60; ++second) {
    planning.recordReport(VmId("vm-1"), loadOf(map), kStart + second * 1s);
    planning.refresh(map, 4, kStart + second * 1s);
  }
  const double busy = planning.loads().total();
  CHECK(busy > 90);
  for (int second = 61; second <= 600; ++second) {
    planning.refresh(map, 4, kStart + second * 1s);
  }
  // The last report counts for 2.5 s more.
  CHECK(planning.loads().total() == doctest::Approx(busy).epsilon(0.05));
}

// Guards against splitting out a key because two requests for it coincide while traffic starts.
TEST_CASE("a key with only a few coincident requests is not split out")
{
  const ShardMap map = initialMap();
  LoadPlanning planning(16);
  for (int second = 0; second <= 3; ++second) {
    planning.recordReport(VmId("vm-1"), loadOf(map, 2), kStart + second * 1s);
    planning.refresh(map, 4, kStart + second * 1s);
  }
  CHECK(planning.hotKeys().hot.empty());
  CHECK(planning.loads().total() == doctest::Approx(42));
}

// Guards against map writes because of a handful of requests, which are too few to measure a key's
// load.
TEST_CASE("a key is not split out while the service is nearly idle")
{
  const ShardMap map = initialMap();
  LoadPlanning planning(16);
  ServiceLoad light = loadOf(map);
  for (auto& [shard, rate] : light.rates) {
    rate /= 20;
  }
  for (int second = 0; second <= 3; ++second) {
    planning.recordReport(VmId("vm-1"), light, kStart + second * 1s);
    planning.refresh(map, 4, kStart + second * 1s);
  }
  CHECK(planning.hotKeys().hot.empty());
  CHECK(planning.loads().total() == 0);
}
