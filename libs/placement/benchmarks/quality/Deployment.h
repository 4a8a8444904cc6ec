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

// Entry VMs with trackers, and the planner, fed with sampled requests in simulated time. Nothing
// knows the true load but the measurements.
class Deployment
{
public:
  Deployment(const Scenario& scenario, std::shared_ptr<const ZipfKeys> keys, std::uint64_t seed);

  // One second of requests, summaries, and a planning step.
  void runSecond();
  // The same with the expected load in place of sampled requests, without hot-key decisions.
  void runExpectedSecond();

  void leave(std::uint32_t server);
  void join(std::uint32_t server);
  // Sends this many requests per second for a key that isn't otherwise used.
  void addHotKey(base::Key key, double rate);
  // Requests for that key in the latest second.
  double hotRequests() const { return hotRequests_; }

  // Max over mean of the expected load of the present servers.
  double imbalance() const;
  const ZipfKeys& keys() const { return *keys_; }
  const ShardMap& map() const { return map_; }
  long moves() const { return moves_; }
  // Moves within the minimum time after another move of the shard, other than off leaving servers.
  long earlyRepeats() const { return earlyRepeats_; }
  const HotKeyTracker& tracker() const { return trackers_.front(); }
  base::TimePoint now() const { return now_; }

private:
  base::ServerId serverName(std::uint32_t server) const;
  base::DomainId domainName(std::uint32_t i) const;
  ServerView view(std::uint32_t server) const;
  std::vector<EntryVm> entryVms() const;
  ShardMap initialMap() const;
  void sampleRequests();
  void request(const std::string& key);
  HotKeySummary mergedSummary() const;
  void plan(const HotKeyPolicy::Decision& decision, const HotKeySummary& summary);
  void adopt(const Plan& plan);
  void updateLoads(const Plan& plan, const ShardMap& before, const HotKeySummary& summary);
  void noteMoves(const Plan& plan);
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
  std::unordered_map<base::ShardId, double> counts_;
  std::optional<base::Key> hotKey_;
  double hotRate_ = 0;
  double hotRequests_ = 0;
  long moves_ = 0;
  long earlyRepeats_ = 0;
  // Valid for one set of overrides: emptied when it changes.
  mutable std::unordered_map<base::ShardId, double> expected_;
  std::unordered_map<base::ShardId, base::TimePoint> movedAt_;
};

} // namespace sycamore::placement::quality
