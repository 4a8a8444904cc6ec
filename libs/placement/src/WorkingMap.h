#pragma once

#include "Fleet.h"
#include "SuccessorSpread.h"

#include <placement/Plan.h>
#include <placement/PlanRequest.h>
#include <placement/PlannerOptions.h>

#include <limits>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

namespace sycamore::placement {

// A map in the course of one planning step: who owns what after the moves so far, and how loaded
// each server then is.
class WorkingMap
{
public:
  WorkingMap(const PlanRequest& request, const PlannerOptions& options, base::TimePoint now);

  // Servers that give or receive shards, by utilization, least first.
  using Ranking = std::set<std::pair<double, ServerIndex>>;

  const Fleet& fleet() const { return fleet_; }
  const ShardMap& map() const { return request_.map; }
  const PlannerOptions& options() const { return options_; }
  bool loadsKnown() const { return request_.loadsKnown; }
  const Ranking& liveServers() const { return live_; }
  const Ranking& coldServers() const { return cold_; }
  const Plan& plan() const { return plan_; }
  Plan takePlan() { return std::move(plan_); }

  // Load of a shard plus a small constant, so that idle shards are spread too.
  double weight(base::ShardId shard) const;
  // The least weight of any shard.
  double lightestWeight() const { return lightest_; }
  // Load over capacity, in units of the mean over all servers that can take shards.
  double utilization(ServerIndex server) const;
  // A load in the units of utilization(server).
  double share(double weight, ServerIndex server) const;

  // Shards of a server that may move now: not moved within the minimum time nor by this plan.
  std::vector<base::ShardId> movableShards(ServerIndex server) const;
  bool isMovable(base::ShardId shard) const;
  // Keeps a shard where it is for the rest of this plan.
  void pin(base::ShardId shard) { pinned_.insert(shard); }
  bool hasMoved(base::ShardId shard) const { return moved_.contains(shard); }

  bool mayMove() const { return plan_.moves.size() < options_.maxMovesPerStep; }
  bool mayBalance() const { return mayMove() && balanceMoves_ < options_.maxBalanceMovesPerStep; }
  // True when the cold server can take this load now.
  bool coldServerTakes(ServerIndex server, double weight) const;

  // Records a move and names the successor that spreads best.
  void move(base::ShardId shard, ServerIndex to, MoveReason reason);
  // Records a move with a given successor.
  void move(base::ShardId shard, ServerIndex to, ServerIndex successor, MoveReason reason);
  Plan& edits() { return plan_; }

private:
  void addLoad(ServerIndex server, double weight);
  Ranking* rankingOf(ServerIndex server);
  ServerIndex chooseSuccessor(base::ShardId shard, ServerIndex owner);

  const PlanRequest& request_;
  const PlannerOptions& options_;
  base::TimePoint now_;
  Fleet fleet_;
  SuccessorSpread spread_;
  double baseWeight_ = 1.0;
  double mean_ = 0;
  std::vector<double> loads_;
  Ranking live_;
  Ranking cold_;
  std::vector<std::size_t> coldMoves_;
  std::unordered_set<base::ShardId> moved_;
  std::unordered_set<base::ShardId> pinned_;
  // Successors of the shards of each server after the moves so far, in no order.
  std::vector<std::vector<ServerIndex>> successors_;
  double lightest_ = std::numeric_limits<double>::max();
  std::size_t balanceMoves_ = 0;
  Plan plan_;
};

} // namespace sycamore::placement
