#pragma once

#include <base/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sycamore::placement {

// Limits of a planning step and the per-service weights.
struct PlannerOptions
{
  // Maximum number of moves in one step.
  std::size_t maxMovesPerStep = 64;
  // Maximum number of moves in one step that are not urgent (KeyCooled, Fill and Balance). Each
  // interrupts the service of its shard for up to 100 ms, so they are spread over several steps.
  std::size_t maxBalanceMovesPerStep = 16;
  // Maximum number of moves in one step to the same cold server, which must answer the first
  // requests of its new shards while it warms up.
  std::size_t maxMovesToColdServerPerStep = 2;
  std::size_t maxSuccessorChangesPerStep = 1024;
  // Minimum time between two moves of a shard. It does not apply if its server is lost or leaving
  // or its failure domain is out of service.
  base::Duration minimumMoveInterval = std::chrono::seconds(60);
  // Configuration "weights.churn", 0 to 1: 0 balances closely, 1 moves as little as the imbalance
  // target of 1.10 allows.
  double churnWeight = 0.5;

  // Returns limits for a shard count, so that one of eleven failure domains can be emptied within
  // two steps.
  static PlannerOptions forShardCount(std::uint32_t shardCount);

  // Utilization relative to the mean up to which the planner leaves a server alone and above which
  // it starts to balance: the imbalance target. Balancing starts and ends at different values, so
  // that noise in the load does not move single shards back and forth.
  double triggerWatermark() const { return 1.10; }
  // Utilization relative to the mean down to which shards are moved off an overloaded server, 1.05
  // to 1.08. Below that range the size of a single shard limits the balance (with 256 shards and 20
  // servers one shard is 6% of a server's load).
  double highWatermark() const { return 1.05 + 0.03 * churnWeight; }
  // Utilization relative to the mean up to which an underloaded server receives shards.
  double lowWatermark() const { return 2.0 - highWatermark(); }
  // Utilization relative to the mean up to which a server receives shards while their loads are
  // unknown.
  double unknownLoadWatermark() const { return 0.5; }
};

} // namespace sycamore::placement
