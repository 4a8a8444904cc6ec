#include "BalanceMoves.h"

#include <algorithm>
#include <optional>

namespace sycamore::placement {

namespace {

// A move must lower the higher utilization by this much, else it isn't worth its gap.
constexpr double kMinGain = 0.01;

struct Choice
{
  base::ShardId shard;
  ServerIndex to;
};

// The largest movable shard that leaves the source above the low mark and the target below the
// limit.
std::optional<Choice> largestFitting(const WorkingMap& work,
                                     ServerIndex from,
                                     ServerIndex to,
                                     double limit)
{
  std::optional<Choice> best;
  double bestWeight = 0;
  const double source = work.utilization(from);
  for (const base::ShardId shard : work.movableShards(from)) {
    const double weight = work.weight(shard);
    const double target = work.utilization(to) + work.share(weight, to);
    const bool fits = target <= limit && target + kMinGain <= source &&
                      source - work.share(weight, from) >= work.options().lowWatermark();
    if (fits && weight > bestWeight) {
      best = { shard, to };
      bestWeight = weight;
    }
  }
  return best;
}

// The movable shard that lowers the higher of the two utilizations most.
std::optional<Choice> bestRelief(const WorkingMap& work, ServerIndex from, ServerIndex to)
{
  std::optional<Choice> best;
  const double source = work.utilization(from);
  double bestPeak = source - kMinGain;
  for (const base::ShardId shard : work.movableShards(from)) {
    const double weight = work.weight(shard);
    const double peak =
      std::max(source - work.share(weight, from), work.utilization(to) + work.share(weight, to));
    if (peak < bestPeak) {
      best = { shard, to };
      bestPeak = peak;
    }
  }
  return best;
}

// Searches the live servers from the most loaded down for a shard that the target can take.
std::optional<Choice> findFill(const WorkingMap& work, ServerIndex to, double limit)
{
  const auto& live = work.liveServers();
  const double lightest = work.lightestWeight();
  if (work.utilization(to) + work.share(lightest, to) > limit) {
    return std::nullopt;
  }
  for (auto from = live.rbegin(); from != live.rend(); ++from) {
    if (from->first <= work.utilization(to) + kMinGain) {
      break;
    }
    if (from->first - work.share(lightest, from->second) < work.options().lowWatermark()) {
      continue;
    }
    if (const auto choice = largestFitting(work, from->second, to, limit)) {
      return choice;
    }
  }
  return std::nullopt;
}

// Cold servers stay below the mean of their warmed part.
void fill(WorkingMap& work, ServerIndex to, double goal)
{
  const bool cold = work.fleet().role(to) == Fleet::Role::Cold;
  const double limit = cold ? 1.0 : work.options().highWatermark();
  while (work.mayBalance() && work.utilization(to) < goal) {
    const auto choice = findFill(work, to, limit);
    if (!choice || (cold && !work.coldServerTakes(to, work.weight(choice->shard)))) {
      return;
    }
    work.move(choice->shard, to, MoveReason::Fill);
  }
}

void collectBelow(const WorkingMap::Ranking& ranking, double mark, std::vector<ServerIndex>& found)
{
  for (const auto& [utilization, server] : ranking) {
    if (utilization < mark) {
      found.push_back(server);
    }
  }
}

std::optional<Choice> findRelief(const WorkingMap& work, ServerIndex from)
{
  const ServerIndex to = work.liveServers().begin()->second;
  const double goal = (1.0 + work.options().highWatermark()) / 2;
  const auto fitting = largestFitting(work, from, to, goal);
  return fitting ? fitting : bestRelief(work, from, to);
}

} // namespace

void planFillMoves(WorkingMap& work)
{
  const PlannerOptions& options = work.options();
  const double start =
    work.loadsKnown() ? 2.0 - options.triggerWatermark() : options.unknownLoadWatermark();
  const double goal = work.loadsKnown() ? options.lowWatermark() : options.unknownLoadWatermark();
  std::vector<ServerIndex> underloaded;
  collectBelow(work.coldServers(), start, underloaded);
  collectBelow(work.liveServers(), start, underloaded);
  for (const ServerIndex server : underloaded) {
    fill(work, server, goal);
  }
}

void planReliefMoves(WorkingMap& work)
{
  if (!work.loadsKnown()) {
    return;
  }
  std::vector<ServerIndex> overloaded;
  const auto& live = work.liveServers();
  for (auto at = live.rbegin(); at != live.rend() && at->first > work.options().triggerWatermark();
       ++at) {
    overloaded.push_back(at->second);
  }
  for (const ServerIndex from : overloaded) {
    while (work.mayBalance() && work.utilization(from) > work.options().highWatermark()) {
      const auto choice = findRelief(work, from);
      if (!choice) {
        break;
      }
      work.move(choice->shard, choice->to, MoveReason::Balance);
    }
  }
}

} // namespace sycamore::placement
