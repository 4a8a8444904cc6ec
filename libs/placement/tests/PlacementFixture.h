#pragma once

#include <placement/MapServerList.h>
#include <placement/PlacementPlanner.h>
#include <placement/PlanApplication.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace sycamore::placement::testing {

// The servers and the map of a service, with a planner that is run step by step, one plan per
// second.
class PlacementFixture
{
public:
  PlacementFixture(std::uint32_t servers, std::uint32_t shards, PlannerOptions options = {})
    : planner(options)
    , loads(shards)
    , map(createMap(servers, shards))
  {
  }

  static base::ServerId serverName(std::uint32_t i)
  {
    return base::ServerId("layout-" + std::to_string(i));
  }
  static base::DomainId domainName(std::uint32_t i)
  {
    return base::DomainId(std::string(1, static_cast<char>('a' + i % 3)));
  }
  static std::vector<EntryVm> vms()
  {
    std::vector<EntryVm> vms;
    for (std::uint32_t i = 0; i < 9; ++i) {
      vms.push_back({ base::VmId("vm-" + std::to_string(i)), domainName(i) });
    }
    return vms;
  }

  ServerView& addView(std::uint32_t i, ServerState state = ServerState::Live)
  {
    return views.emplace_back(ServerView{ serverName(i), "127.0.0.1:9", domainName(i), state });
  }
  ServerView& view(std::uint32_t i)
  {
    return *std::ranges::find(views, serverName(i), &ServerView::id);
  }
  void addServer(std::uint32_t i, ServerState state = ServerState::Live)
  {
    addView(i, state);
    if (auto next = updateServerList(map, views, vms(), VoterMode::Hold, "test")) {
      adopt(std::move(*next), {});
    }
  }

  // Plans, applies and returns the plan, and advances the time by one second.
  Plan step(std::span<const base::Key> hot = {}, std::span<const base::Key> cooled = {})
  {
    now += std::chrono::seconds(1);
    Plan plan = planner.plan({ map, views, domainsOut, loads, history, hot, cooled }, now);
    if (!plan.empty()) {
      adopt(applyPlan(map, plan, "test"), plan.moves);
    }
    return plan;
  }

  // Runs steps until a plan is empty. Returns the number of moves, or -1 if no plan is empty within
  // maxSteps.
  long stepUntilStable(int maxSteps = 400)
  {
    long moves = 0;
    for (int i = 0; i < maxSteps; ++i) {
      const Plan plan = step();
      moves += static_cast<long>(plan.moves.size());
      if (plan.empty()) {
        return moves;
      }
    }
    return -1;
  }

  double serverLoad(const base::ServerId& server) const
  {
    double sum = 0;
    for (const base::ShardId shard : map.shardsOf(server)) {
      sum += loads.load(shard);
    }
    return sum;
  }

  PlacementPlanner planner;
  std::vector<ServerView> views;
  std::vector<base::DomainId> domainsOut;
  ShardLoads loads;
  OwnershipHistory history;
  ShardMap map;
  base::TimePoint now{ std::chrono::hours(1) };

private:
  ShardMap createMap(std::uint32_t servers, std::uint32_t shards)
  {
    for (std::uint32_t i = 0; i < servers; ++i) {
      addView(i);
    }
    return createInitialMap(
      base::ServiceId("layout"), shards, views, vms(), VoterMode::Hold, "test");
  }
  void adopt(ShardMap next, std::span<const Move> moves)
  {
    history.onMapAdopted(map, next, now);
    history.recordReasons(moves);
    map = std::move(next);
  }
};

} // namespace sycamore::placement::testing
