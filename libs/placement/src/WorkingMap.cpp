#include "WorkingMap.h"

#include <algorithm>

namespace sycamore::placement {

namespace {

// Minimum weight of a shard as a fraction of the mean shard load, because an idle shard may become
// busy.
constexpr double kMinLoadShare = 0.01;

} // namespace

WorkingMap::WorkingMap(const PlanRequest& request,
                       const PlannerOptions& options,
                       base::TimePoint now)
  : request_(request)
  , options_(options)
  , now_(now)
  , serverTable_(request.map, request.servers, request.domainsOut)
  , selector_(serverTable_)
  , loads_(serverTable_.size())
  , movesToServer_(serverTable_.size())
  , successors_(serverTable_.size())
{
  double totalLoad = 0;
  map().forEachShard(
    [&](base::ShardId shard, const ShardRow&) { totalLoad += request_.loads.load(shard); });
  const auto rows = static_cast<double>(std::max<std::size_t>(1, map().rowCount()));
  baseWeight_ = totalLoad > 0 ? kMinLoadShare * totalLoad / rows : 1.0;
  double movableWeight = 0;
  map().forEachShard([&](base::ShardId shard, const ShardRow& row) {
    loads_[row.owner.value()] += weight(shard);
    successors_[row.owner.value()].push_back(row.successor);
    minWeight_ = std::min(minWeight_, weight(shard));
    // Shards that must not be moved do not count towards the mean of the others.
    movableWeight += serverTable_.role(row.owner) == ServerTable::Role::Unknown ? 0 : weight(shard);
    if (row.successor != kNoServer) {
      selector_.incrementTotal(row.successor);
    }
  });
  double totalCapacity = 0;
  for (std::uint32_t i = 0; i < serverTable_.size(); ++i) {
    totalCapacity +=
      serverTable_.canReceive(ServerIndex(i)) ? serverTable_.capacity(ServerIndex(i)) : 0;
  }
  meanLoadPerCapacity_ = totalCapacity > 0 ? movableWeight / totalCapacity : 0;
  for (std::uint32_t i = 0; i < serverTable_.size(); ++i) {
    addLoad(ServerIndex(i), 0);
  }
}

double WorkingMap::weight(base::ShardId shard) const
{
  return request_.loads.load(shard) + baseWeight_;
}

double WorkingMap::utilization(ServerIndex server) const
{
  return relativeLoad(loads_[server.value()], server);
}

double WorkingMap::relativeLoad(double weight, ServerIndex server) const
{
  return meanLoadPerCapacity_ > 0 ? weight / (serverTable_.capacity(server) * meanLoadPerCapacity_)
                                  : 0;
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
  return !hasMoved(shard) && !pinnedShards_.contains(shard) &&
         !request_.history.movedWithin(shard, options_.minimumMoveInterval, now_);
}

bool WorkingMap::fitsColdServer(ServerIndex server, double weight) const
{
  return movesToServer_[server.value()] < options_.maxMovesToColdServerPerStep &&
         utilization(server) + relativeLoad(weight, server) <= 1.0;
}

void WorkingMap::move(base::ShardId shard, ServerIndex to, MoveReason reason)
{
  move(shard, to, chooseSuccessor(shard, to), reason);
}

void WorkingMap::move(base::ShardId shard, ServerIndex to, ServerIndex successor, MoveReason reason)
{
  const ServerIndex from = map().row(shard).owner;
  std::optional<base::ServerId> successorId;
  if (successor != kNoServer) {
    successorId = map().server(successor).id;
  }
  plan_.moves.push_back({ shard, map().server(from).id, map().server(to).id, successorId, reason });
  movedShards_.insert(shard);
  std::vector<ServerIndex>& fromSuccessors = successors_[from.value()];
  fromSuccessors.erase(std::ranges::find(fromSuccessors, map().row(shard).successor));
  successors_[to.value()].push_back(successor);
  addLoad(from, -weight(shard));
  addLoad(to, weight(shard));
  movesToServer_[to.value()] += 1;
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
  switch (serverTable_.role(server)) {
    case ServerTable::Role::Live:
      return &liveRanking_;
    case ServerTable::Role::Cold:
      return &coldRanking_;
    default:
      return nullptr;
  }
}

ServerIndex WorkingMap::chooseSuccessor(base::ShardId shard, ServerIndex owner)
{
  selector_.startOwner(owner);
  for (const ServerIndex successor : successors_[owner.value()]) {
    selector_.addSuccessor(successor);
  }
  const ServerIndex successor = selector_.choose(shard);
  if (successor != kNoServer) {
    selector_.incrementTotal(successor);
  }
  return successor;
}

} // namespace sycamore::placement
