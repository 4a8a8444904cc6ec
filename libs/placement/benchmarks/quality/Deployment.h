#pragma once

#include "Scenario.h"
#include "ZipfKeys.h"

#include <placement/HotKeyPolicy.h>
#include <placement/HotKeyTracker.h>
#include <placement/MapServerList.h>
#include <placement/PlacementPlanner.h>

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace sycamore::placement::quality {

// Entry VMs with hot-key trackers and the planner, driven by sampled requests in simulated time.
// The true load is used only for measuring.
class Deployment
{
public:
  Deployment(const Scenario& scenario, std::shared_ptr<const ZipfKeys> keys, std::uint64_t seed);

  // Simulates one second: requests, summaries and a planning step.
  void runSecond();
  // Simulates one second with the expected load instead of sampled requests, and without hot-key
  // decisions.
  void runExpectedSecond();

  void leave(std::uint32_t server);
  void join(std::uint32_t server);
  // Adds a key that is not otherwise used, requested at this rate per second.
  void addHotKey(base::Key key, double rate);
  // Returns the number of requests for that key in the latest second.
  double hotKeyRequests() const { return hotKeyRequests_; }

  // Returns the maximum of the expected load of the present servers, relative to the mean.
  double imbalance() const;
  const ZipfKeys& keys() const { return *keys_; }
  const ShardMap& map() const { return map_; }
  long moves() const { return moves_; }
  // Returns the number of moves within the minimum time after another move of the same shard, other
  // than off leaving servers.
  long earlyRepeatMoves() const { return earlyRepeatMoves_; }
  const HotKeyTracker& tracker() const { return trackers_.front(); }
  base::TimePoint now() const { return now_; }

private:
  base::ServerId serverName(std::uint32_t server) const;
  base::DomainId domainName(std::uint32_t i) const;
  ServerView view(std::uint32_t server) const;
  std::vector<EntryVm> entryVms() const;
  ShardMap initialMap() const;
  void sampleRequests();
  void sendRequest(const std::string& key);
  HotKeySummary mergedSummary() const;
  void plan(const HotKeyPolicy::Decision& decision, const HotKeySummary& summary);
  void adopt(const Plan& plan);
  void updateLoads(const Plan& plan, const ShardMap& before, const HotKeySummary& summary);
  void recordMoves(const Plan& plan);
  const std::unordered_map<base::ShardId, double>& expectedLoads() const;

  const Scenario& scenario_;
  std::shared_ptr<const ZipfKeys> keys_;
  std::mt19937_64 random_;
  base::TimePoint now_{ std::chrono::hours(1) };
  std::vector<ServerView> views_;
  ShardMap map_;
  ShardLoads loads_;
  OwnershipHistory history_;
  PlacementPlanner planner_;
  HotKeyPolicy policy_;
  std::vector<HotKeyTracker> trackers_;
  std::unordered_map<base::ShardId, double> requestCounts_;
  std::optional<base::Key> hotKey_;
  double hotKeyRate_ = 0;
  double hotKeyRequests_ = 0;
  long moves_ = 0;
  long earlyRepeatMoves_ = 0;
  // Cache, cleared when the set of overrides changes.
  mutable std::unordered_map<base::ShardId, double> expectedLoads_;
  std::unordered_map<base::ShardId, base::TimePoint> movedAt_;
};

} // namespace sycamore::placement::quality
