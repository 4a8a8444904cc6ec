#pragma once

#include "LoadBook.h"

#include <placement/HotKeyPolicy.h>
#include <placement/Plan.h>
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
  // A plan of this VM is in effect: moves loads with split-out and returned keys.
  void applied(const placement::Plan& plan,
               const placement::ShardMap& before,
               const placement::ShardMap& after,
               base::TimePoint now);

  const placement::ShardLoads& loads() const { return loads_; }
  const placement::HotKeyPolicy::Decision& hotKeys() const { return decision_; }

private:
  double rateOf(const base::Key& key) const;

  LoadBook book_;
  placement::ShardLoads loads_;
  placement::HotKeyPolicy policy_;
  placement::HotKeyPolicy::Decision decision_;
  placement::HotKeySummary summary_;
  base::TimePoint startedAt_{};
  base::TimePoint refreshedAt_{};
};

} // namespace sycamore::control
