#include "BalanceMoves.h"

#include <algorithm>
#include <optional>

namespace sycamore::placement {

namespace {

// Minimum decrease of the higher utilization by a move; a smaller gain isn't worth the interruption
// of the shard's service.
constexpr double kMinUtilizationGain = 0.01;

struct MoveChoice
{
  base::ShardId shard;
  ServerIndex to;
};

// Returns the largest movable shard that leaves the source server above the low watermark and the
// target server below the limit.
std::optional<MoveChoice> largestFittingMove(const WorkingMap& work,
                                             ServerIndex from,
                                             ServerIndex to,
                                             double limit)
{
  std::optional<MoveChoice> best;
  double bestWeight = 0;
  const double source = work.utilization(from);
  for (const base::ShardId shard : work.movableShards(from)) {
    const double weight = work.weight(shard);
    const double target = work.utilization(to) + work.relativeLoad(weight, to);
    const bool fits = target <= limit && target + kMinUtilizationGain <= source &&
                      source - work.relativeLoad(weight, from) >= work.options().lowWatermark();
    if (fits && weight > bestWeight) {
      best = { shard, to };
      bestWeight = weight;
    }
  }
  return best;
}

// Returns the movable shard that lowers the higher of the two utilizations most.
std::optional<MoveChoice> bestRelievingMove(const WorkingMap& work,
                                            ServerIndex from,
                                            ServerIndex to)
{
  std::optional<MoveChoice> best;
  const double source = work.utilization(from);
  double bestPeak = source - kMinUtilizationGain;
  for (const base::ShardId shard : work.movableShards(from)) {
    const double weight = work.weight(shard);
    const double peak = std::max(source - work.relativeLoad(weight, from),
                                 work.utilization(to) + work.relativeLoad(weight, to));
    if (peak < bestPeak) {
      best = { shard, to };
      bestPeak = peak;
    }
  }
  return best;
}

// Searches the live servers, most loaded first, for a shard that the target server can take.
std::optional<MoveChoice> findMoveToFill(const WorkingMap& work, ServerIndex to, double limit)
{
  const auto& live = work.liveServers();
  const double minWeight = work.minWeight();
  if (work.utilization(to) + work.relativeLoad(minWeight, to) > limit) {
    return std::nullopt;
  }
  for (auto from = live.rbegin(); from != live.rend(); ++from) {
    if (from->first <= work.utilization(to) + kMinUtilizationGain) {
      break;
    }
    if (from->first - work.relativeLoad(minWeight, from->second) < work.options().lowWatermark()) {
      continue;
    }
    if (const auto choice = largestFittingMove(work, from->second, to, limit)) {
      return choice;
    }
  }
  return std::nullopt;
}

// Moves shards to a server until it reaches the goal. A cold server stays below the mean
// utilization for its warm part of the capacity.
void fillServer(WorkingMap& work, ServerIndex to, double goal)
{
  const bool isCold = work.serverTable().role(to) == ServerTable::Role::Cold;
  const double limit = isCold ? 1.0 : work.options().highWatermark();
  while (work.hasBalanceBudget() && work.utilization(to) < goal) {
    const auto choice = findMoveToFill(work, to, limit);
    if (!choice || (isCold && !work.fitsColdServer(to, work.weight(choice->shard)))) {
      return;
    }
    work.move(choice->shard, to, MoveReason::Fill);
  }
}

void collectServersBelow(const WorkingMap::Ranking& ranking,
                         double threshold,
                         std::vector<ServerIndex>& servers)
{
  for (const auto& [utilization, server] : ranking) {
    if (utilization < threshold) {
      servers.push_back(server);
    }
  }
}

std::optional<MoveChoice> findMoveToRelieve(const WorkingMap& work, ServerIndex from)
{
  const ServerIndex to = work.liveServers().begin()->second;
  const double goal = (1.0 + work.options().highWatermark()) / 2;
  const auto fitting = largestFittingMove(work, from, to, goal);
  return fitting ? fitting : bestRelievingMove(work, from, to);
}

} // namespace

void planFillMoves(WorkingMap& work)
{
  const PlannerOptions& options = work.options();
  const double start =
    work.loadsKnown() ? 2.0 - options.triggerWatermark() : options.unknownLoadWatermark();
  const double goal = work.loadsKnown() ? options.lowWatermark() : options.unknownLoadWatermark();
  std::vector<ServerIndex> underloaded;
  collectServersBelow(work.coldServers(), start, underloaded);
  collectServersBelow(work.liveServers(), start, underloaded);
  for (const ServerIndex server : underloaded) {
    fillServer(work, server, goal);
  }
}

void planReliefMoves(WorkingMap& work)
{
  if (!work.loadsKnown()) {
    return;
  }
  std::vector<ServerIndex> overloaded;
  const auto& live = work.liveServers();
  for (auto entry = live.rbegin();
       entry != live.rend() && entry->first > work.options().triggerWatermark();
       ++entry) {
    overloaded.push_back(entry->second);
  }
  for (const ServerIndex from : overloaded) {
    while (work.hasBalanceBudget() && work.utilization(from) > work.options().highWatermark()) {
      const auto choice = findMoveToRelieve(work, from);
      if (!choice) {
        break;
      }
      work.move(choice->shard, choice->to, MoveReason::Balance);
    }
  }
}

} // namespace sycamore::placement
