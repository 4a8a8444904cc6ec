#include "WorkingMap.h"

#include <algorithm>

namespace sycamore::placement {

namespace {

// Part of the mean shard load that every shard counts at least: idle shards become busy one day.
constexpr double kIdleShare = 0.01;

} // namespace

WorkingMap::WorkingMap(const PlanRequest& request,
                       const PlannerOptions& options,
                       base::TimePoint now)
  : request_(request)
  , options_(options)
  , now_(now)
  , fleet_(request.map, request.servers, request.domainsOut)
  , spread_(fleet_)
  , loads_(fleet_.size())
  , coldMoves_(fleet_.size())
  , successors_(fleet_.size())
{
  double total = 0;
  map().forEachShard(
    [&](base::ShardId shard, const ShardRow&) { total += request_.loads.load(shard); });
  const auto units = static_cast<double>(std::max<std::size_t>(1, map().rowCount()));
  baseWeight_ = total > 0 ? kIdleShare * total / units : 1.0;
  double weights = 0;
  map().forEachShard([&](base::ShardId shard, const ShardRow& row) {
    loads_[row.owner.value()] += weight(shard);
    successors_[row.owner.value()].push_back(row.successor);
    lightest_ = std::min(lightest_, weight(shard));
    // Shards that nobody may move don't count towards the mean of the others.
    weights += fleet_.role(row.owner) == Fleet::Role::Unknown ? 0 : weight(shard);
    if (row.successor != kNoServer) {
      spread_.addTotal(row.successor);
    }
  });
  double capacity = 0;
  for (std::uint32_t i = 0; i < fleet_.size(); ++i) {
    capacity += fleet_.isTarget(ServerIndex(i)) ? fleet_.capacity(ServerIndex(i)) : 0;
  }
  mean_ = capacity > 0 ? weights / capacity : 0;
  for (std::uint32_t i = 0; i < fleet_.size(); ++i) {
    addLoad(ServerIndex(i), 0);
  }
}

double WorkingMap::weight(base::ShardId shard) const
{
  return request_.loads.load(shard) + baseWeight_;
}

double WorkingMap::utilization(ServerIndex server) const
{
  return share(loads_[server.value()], server);
}

double WorkingMap::share(double weight, ServerIndex server) const
{
  return mean_ > 0 ? weight / (fleet_.capacity(server) * mean_) : 0;
}

std::vector<base::ShardId> WorkingMap::movableShards(ServerIndex server) const
{
  std::vector<base::ShardId> shards;
  for (const base::ShardId shard : map().shardsOf(server)) {
    if (isMovable(shard)) {
      shards.push_back(shard);
    }
  }
  return shards;
}

bool WorkingMap::isMovable(base::ShardId shard) const
{
  return !hasMoved(shard) && !pinned_.contains(shard) &&
         !request_.history.movedWithin(shard, options_.minimumMoveInterval, now_);
}

bool WorkingMap::coldServerTakes(ServerIndex server, double weight) const
{
  return coldMoves_[server.value()] < options_.maxMovesToColdServerPerStep &&
         utilization(server) + share(weight, server) <= 1.0;
}

void WorkingMap::move(base::ShardId shard, ServerIndex to, MoveReason reason)
{
  move(shard, to, chooseSuccessor(shard, to), reason);
}

void WorkingMap::move(base::ShardId shard, ServerIndex to, ServerIndex successor, MoveReason reason)
{
  const ServerIndex from = map().row(shard).owner;
  std::optional<base::ServerId> named;
  if (successor != kNoServer) {
    named = map().server(successor).id;
  }
  plan_.moves.push_back({ shard, map().server(from).id, map().server(to).id, named, reason });
  moved_.insert(shard);
  std::vector<ServerIndex>& old = successors_[from.value()];
  old.erase(std::ranges::find(old, map().row(shard).successor));
  successors_[to.value()].push_back(successor);
  addLoad(from, -weight(shard));
  addLoad(to, weight(shard));
  coldMoves_[to.value()] += 1;
  balanceMoves_ += reason >= MoveReason::KeyCooled ? 1 : 0;
}

void WorkingMap::addLoad(ServerIndex server, double weight)
{
  Ranking* ranking = rankingOf(server);
  if (ranking) {
    ranking->erase({ utilization(server), server });
  }
  loads_[server.value()] += weight;
  if (ranking) {
    ranking->insert({ utilization(server), server });
  }
}

WorkingMap::Ranking* WorkingMap::rankingOf(ServerIndex server)
{
  switch (fleet_.role(server)) {
    case Fleet::Role::Live:
      return &live_;
    case Fleet::Role::Cold:
      return &cold_;
    default:
      return nullptr;
  }
}

ServerIndex WorkingMap::chooseSuccessor(base::ShardId shard, ServerIndex owner)
{
  spread_.reset(owner);
  for (const ServerIndex successor : successors_[owner.value()]) {
    spread_.add(successor);
  }
  const ServerIndex successor = spread_.choose(shard);
  if (successor != kNoServer) {
    spread_.addTotal(successor);
  }
  return successor;
}

} // namespace sycamore::placement
