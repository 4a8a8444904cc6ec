#pragma once

#include "LoadBook.h"

#include <placement/HotKeyPolicy.h>
#include <placement/ShardLoads.h>

namespace sycamore::control {

// What the planner of one service knows of its load: smoothed load per shard, and which keys are
// hot. Used on the control thread only.
class LoadPlanning
{
public:
  explicit LoadPlanning(std::uint32_t shardCount)
    : loads_(shardCount)
  {
  }

  void note(const base::VmId& from, ServiceLoad load, base::TimePoint now);
  // Takes the reports into account, once a second; called before each planning step.
  void refresh(const placement::ShardMap& map, std::size_t serverCount, base::TimePoint now);
  // A newer map is in use: moves loads with the keys that were split out or returned. The holders
  // of servers write merges, so the plans of this VM don't tell when they take effect.
  void mapChanged(const placement::ShardMap& before,
                  const placement::ShardMap& after,
                  base::TimePoint now);

  const placement::ShardLoads& loads() const { return loads_; }
  // True when the loads cover enough time with traffic to place shards by them.
  bool knowsLoads() const;
  const placement::HotKeyPolicy::Decision& hotKeys() const { return decision_; }

private:
  void observe(const placement::ShardMap& map, const LoadBook::Sum& sum, base::TimePoint now);
  double rateOf(const base::Key& key) const;

  LoadBook book_;
  placement::ShardLoads loads_;
  placement::HotKeyPolicy policy_;
  placement::HotKeyPolicy::Decision decision_;
  placement::HotKeySummary summary_;
  base::TimePoint startedAt_{};
  base::TimePoint refreshedAt_{};
  // Requests counted per shard, decayed like the loads.
  double counted_ = 0;
  base::TimePoint observedAt_{};
  // Sum of the intervals with traffic that the loads cover.
  base::Duration covered_{};
};

} // namespace sycamore::control
