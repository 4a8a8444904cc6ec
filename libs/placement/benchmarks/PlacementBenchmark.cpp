// Measures lookup, planning and JSON coding for growing numbers of shards and servers.

#include <placement/HotKeyTracker.h>
#include <placement/MapServerList.h>
#include <placement/PlacementPlanner.h>
#include <placement/PlanApplication.h>
#include <placement/ShardMapBuilder.h>
#include <placement/ShardMapCodec.h>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <map>
#include <random>

namespace {

using namespace sycamore;
using namespace sycamore::placement;

struct SampleMap
{
  std::vector<ServerView> servers;
  ShardMap map;
};

std::vector<ServerView> makeServers(std::int64_t count)
{
  std::vector<ServerView> servers;
  for (std::int64_t i = 0; i < count; ++i) {
    const base::DomainId domain(std::string(1, static_cast<char>('a' + i % 11)));
    servers.push_back({ base::ServerId("layout-" + std::to_string(i)), "10.0.0.1:9001", domain });
  }
  return servers;
}

std::vector<EntryVm> makeVms()
{
  std::vector<EntryVm> vms;
  for (int i = 0; i < 44; ++i) {
    const base::DomainId domain(std::string(1, static_cast<char>('a' + i % 11)));
    vms.push_back({ base::VmId("vm-" + std::to_string(i)), domain });
  }
  return vms;
}

SampleMap makeSampleMap(std::int64_t shards, std::int64_t servers)
{
  auto views = makeServers(servers);
  const base::ServiceId service("layout");
  ShardMap map = createInitialMap(
    service, static_cast<std::uint32_t>(shards), views, makeVms(), VoterMode::Hold, "vm-1/8f3c");
  ShardMapBuilder builder(map);
  for (int i = 0; i < 260; ++i) {
    const base::ShardId home(static_cast<std::uint32_t>(i % shards));
    builder.addOverride(
      base::Key("hot-" + std::to_string(i)), map.owner(home), *map.successor(home));
  }
  return { std::move(views), builder.build() };
}

// Returns a sample map; cached, because creating the initial map takes long at the larger sizes.
const SampleMap& cachedSample(const benchmark::State& state)
{
  static std::map<std::pair<std::int64_t, std::int64_t>, SampleMap> samples;
  const std::pair size(state.range(0), state.range(1));
  const auto found = samples.find(size);
  return found != samples.end()
           ? found->second
           : samples.emplace(size, makeSampleMap(size.first, size.second)).first->second;
}

void addSizes(benchmark::internal::Benchmark* benchmark)
{
  for (const std::int64_t shards : { 256, 1024, 4096, 16384, 65536 }) {
    for (const std::int64_t servers : { 20, 200, 2000 }) {
      if (shards >= servers) {
        benchmark->Args({ shards, servers });
      }
    }
  }
}

void lookup(benchmark::State& state)
{
  const ShardMap& map = cachedSample(state).map;
  std::vector<base::Key> keys;
  for (int i = 0; i < 4096; ++i) {
    keys.emplace_back(i % 16 == 0 ? "hot-" + std::to_string(i % 260) : "key-" + std::to_string(i));
  }
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(&map.ownerOfKey(keys[i++ % keys.size()]));
  }
}

void planLeave(benchmark::State& state)
{
  const SampleMap& sampleMap = cachedSample(state);
  auto servers = sampleMap.servers;
  servers[1].state = ServerState::Leaving;
  const ShardLoads loads(sampleMap.map.shardCount());
  const PlacementPlanner planner(PlannerOptions::forShardCount(sampleMap.map.shardCount()));
  for (auto _ : state) {
    benchmark::DoNotOptimize(planner.plan({ sampleMap.map, servers, {}, loads, {} }, {}));
  }
}

void planDomainOut(benchmark::State& state)
{
  const SampleMap& sampleMap = cachedSample(state);
  const std::vector<base::DomainId> out{ base::DomainId("b") };
  const ShardLoads loads(sampleMap.map.shardCount());
  const PlacementPlanner planner(PlannerOptions::forShardCount(sampleMap.map.shardCount()));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      planner.plan({ sampleMap.map, sampleMap.servers, out, loads, {} }, {}));
  }
}

void planQuiet(benchmark::State& state)
{
  const SampleMap& sampleMap = cachedSample(state);
  const ShardLoads loads(sampleMap.map.shardCount());
  const PlacementPlanner planner;
  for (auto _ : state) {
    benchmark::DoNotOptimize(planner.plan({ sampleMap.map, sampleMap.servers, {}, loads, {} }, {}));
  }
}

void encode(benchmark::State& state)
{
  const ShardMap& map = cachedSample(state).map;
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = toJson(map).dump().size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void decode(benchmark::State& state)
{
  const std::string text = toJson(cachedSample(state).map).dump();
  for (auto _ : state) {
    benchmark::DoNotOptimize(shardMapFromJson(nlohmann::json::parse(text)));
  }
}

void track(benchmark::State& state)
{
  HotKeyTracker tracker;
  std::mt19937_64 random(1);
  std::vector<std::string> keys;
  for (int i = 0; i < 65536; ++i) {
    // Approximates Zipf(1.0) over 100 million ranks.
    const double exponent = std::uniform_real_distribution<double>()(random);
    keys.push_back("key-" + std::to_string(static_cast<long>(std::pow(1e8, exponent))));
  }
  base::TimePoint now{};
  std::size_t i = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(5);
    tracker.record(keys[i++ % keys.size()], now);
  }
}

} // namespace

BENCHMARK(lookup)->Apply(addSizes);
BENCHMARK(planLeave)->Apply(addSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(planDomainOut)->Apply(addSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(planQuiet)->Apply(addSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(encode)->Apply(addSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(decode)->Apply(addSizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(track);
