#pragma once

#include "LoadReportTable.h"

#include <placement/HotKeyPolicy.h>
#include <placement/ShardLoads.h>

namespace sycamore::control {

// The planner's estimate of one service's load: the smoothed load per shard, and the hot keys. Used
// by the control thread only.
class LoadPlanning
{
public:
  explicit LoadPlanning(std::uint32_t shardCount)
    : loads_(shardCount)
  {
  }

  void recordReport(const base::VmId& from, ServiceLoad load, base::TimePoint now);
  // Updates the estimate from the reports, at most once a second. Call it before each planning
  // step.
  void refresh(const placement::ShardMap& map, std::size_t serverCount, base::TimePoint now);
  // Called when a newer map is in use: moves the loads of keys that were split out or merged back.
  // Lease holders write merges, so this VM can't know from its plans when a merge takes effect.
  void mapChanged(const placement::ShardMap& before,
                  const placement::ShardMap& after,
                  base::TimePoint now);

  const placement::ShardLoads& loads() const { return loads_; }
  // Returns whether the loads cover enough time with traffic to place shards by them.
  bool knowsLoads() const;
  const placement::HotKeyPolicy::Decision& hotKeys() const { return decision_; }

private:
  void observe(const placement::ShardMap& map,
               const LoadReportTable::Sum& sum,
               base::TimePoint now);
  double rateOf(const base::Key& key) const;

  LoadReportTable reports_;
  placement::ShardLoads loads_;
  placement::HotKeyPolicy policy_;
  placement::HotKeyPolicy::Decision decision_;
  placement::HotKeySummary summary_;
  base::TimePoint startedAt_{};
  base::TimePoint refreshedAt_{};
  // Mean number of requests counted per shard, decayed like the loads.
  double countedPerShard_ = 0;
  base::TimePoint observedAt_{};
  // Total time with traffic that the loads cover.
  base::Duration observedTime_{};
};

} // namespace sycamore::control
