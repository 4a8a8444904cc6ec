#pragma once

#include "ServerTable.h"
#include "SuccessorSelector.h"

#include <placement/Plan.h>
#include <placement/PlanRequest.h>
#include <placement/PlannerOptions.h>

#include <limits>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

namespace sycamore::placement {

// The state of a map during one planning step: owners after the moves planned so far, and the
// resulting utilization of each server.
class WorkingMap
{
public:
  WorkingMap(const PlanRequest& request, const PlannerOptions& options, base::TimePoint now);

  // Live or cold servers, sorted by utilization, lowest first.
  using Ranking = std::set<std::pair<double, ServerIndex>>;

  const ServerTable& serverTable() const { return serverTable_; }
  const ShardMap& map() const { return request_.map; }
  const PlannerOptions& options() const { return options_; }
  bool loadsKnown() const { return request_.loadsKnown; }
  const Ranking& liveServers() const { return liveRanking_; }
  const Ranking& coldServers() const { return coldRanking_; }
  const Plan& plan() const { return plan_; }
  Plan takePlan() { return std::move(plan_); }

  // Returns the load of a shard plus a small constant, so that idle shards are spread too.
  double weight(base::ShardId shard) const;
  // Returns the lowest weight of any shard.
  double minWeight() const { return minWeight_; }
  // Returns the load divided by the capacity, relative to the mean over all servers that can take
  // shards.
  double utilization(ServerIndex server) const;
  // Returns the utilization that a load of this weight adds to the server.
  double relativeLoad(double weight, ServerIndex server) const;

  // Returns the shards of a server that may move now: neither moved within the minimum time nor by
  // this plan.
  std::vector<base::ShardId> movableShards(ServerIndex server) const;
  bool isMovable(base::ShardId shard) const;
  // Excludes a shard from the remaining moves of this plan.
  void pin(base::ShardId shard) { pinnedShards_.insert(shard); }
  bool hasMoved(base::ShardId shard) const { return movedShards_.contains(shard); }

  bool hasMoveBudget() const { return plan_.moves.size() < options_.maxMovesPerStep; }
  bool hasBalanceBudget() const
  {
    return hasMoveBudget() && balanceMoves_ < options_.maxBalanceMovesPerStep;
  }
  // Returns whether the cold server can take this load in this step.
  bool fitsColdServer(ServerIndex server, double weight) const;

  // Adds a move to the plan, with the successor that keeps successors spread most evenly.
  void move(base::ShardId shard, ServerIndex to, MoveReason reason);
  // Adds a move with a given successor to the plan.
  void move(base::ShardId shard, ServerIndex to, ServerIndex successor, MoveReason reason);
  Plan& mutablePlan() { return plan_; }

private:
  void addLoad(ServerIndex server, double weight);
  Ranking* rankingOf(ServerIndex server);
  ServerIndex chooseSuccessor(base::ShardId shard, ServerIndex owner);

  const PlanRequest& request_;
  const PlannerOptions& options_;
  base::TimePoint now_;
  ServerTable serverTable_;
  SuccessorSelector selector_;
  double baseWeight_ = 1.0;
  double meanLoadPerCapacity_ = 0;
  std::vector<double> loads_;
  Ranking liveRanking_;
  Ranking coldRanking_;
  std::vector<std::size_t> movesToServer_;
  std::unordered_set<base::ShardId> movedShards_;
  std::unordered_set<base::ShardId> pinnedShards_;
  // Successors of the shards of each server after the moves planned so far, unordered.
  std::vector<std::vector<ServerIndex>> successors_;
  double minWeight_ = std::numeric_limits<double>::max();
  std::size_t balanceMoves_ = 0;
  Plan plan_;
};

} // namespace sycamore::placement
