#pragma once

#include <base/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sycamore::placement {

// Limits of a planning step and the per-service weights.
struct PlannerOptions
{
  // All moves of one step.
  std::size_t maxMovesPerStep = 64;
  // Moves of one step that are not urgent (Fill and Balance). Each costs a gap of up to 100 ms on
  // its shard, so they are spread over several steps.
  std::size_t maxBalanceMovesPerStep = 16;
  // Moves of one step to the same cold server; it must answer the first requests of new shards
  // while it warms up.
  std::size_t maxMovesToColdServerPerStep = 2;
  std::size_t maxSuccessorChangesPerStep = 1024;
  // A shard stays this long before it moves again, unless its server is lost or leaving or its
  // failure domain is taken out.
  base::Duration minimumMoveInterval = std::chrono::seconds(60);
  // Configuration "weights.churn", 0 to 1: 0 balances closely, 1 moves as little as the imbalance
  // target of 1.10 allows.
  double churnWeight = 0.5;

  // Limits for a shard count: a failure domain of eleven can be emptied within two steps.
  static PlannerOptions forShardCount(std::uint32_t shardCount);

  // Load over mean that the planner leaves alone, and at which it starts to balance: the target of
  // the imbalance. Marks for the start and the end that lie apart keep noise in the load from
  // moving single shards again and again.
  double triggerWatermark() const { return 1.10; }
  // Load over mean down to which an overloaded server gives shards away, 1.05 to 1.08. Below that
  // range the size of a shard decides (at 256 shards and 20 servers one is 6% of a server's load).
  double highWatermark() const { return 1.05 + 0.03 * churnWeight; }
  // Load over mean up to which an underloaded server receives shards.
  double lowWatermark() const { return 2.0 - highWatermark(); }
  // Share of the mean up to which a server receives shards while their loads aren't known.
  double unknownLoadWatermark() const { return 0.5; }
};

} // namespace sycamore::placement
