#include <placement/Failover.h>

#include "ServerTable.h"
#include "SuccessorSelector.h"

namespace sycamore::placement {

namespace {

// Returns the servers with the evicted one marked as lost, whatever its state in the list.
std::vector<ServerView> withServerLost(std::span<const ServerView> servers,
                                       const base::ServerId& evicted)
{
  std::vector<ServerView> views(servers.begin(), servers.end());
  for (ServerView& view : views) {
    if (view.id == evicted) {
      view.state = ServerState::Lost;
    }
  }
  return views;
}

class FailoverPlanner
{
public:
  FailoverPlanner(const ShardMap& map, const ServerTable& serverTable)
    : map_(map)
    , selector_(serverTable)
  {
    map.forEachShard([&](base::ShardId, const ShardRow& row) {
      if (row.successor != kNoServer) {
        selector_.incrementTotal(row.successor);
      }
    });
  }

  // Plans the moves of the shards of the evicted server that go to one new owner.
  void planNewOwner(ServerIndex evicted, ServerIndex newOwner)
  {
    selector_.startOwner(newOwner);
    for (const base::ShardId shard : map_.shardsOf(newOwner)) {
      selector_.addSuccessor(map_.row(shard).successor);
    }
    for (const base::ShardId shard : map_.shardsOf(evicted)) {
      if (map_.row(shard).successor == newOwner) {
        planShard(shard, evicted, newOwner);
      }
    }
  }

  Plan takePlan() { return std::move(plan_); }

private:
  void planShard(base::ShardId shard, ServerIndex evicted, ServerIndex newOwner)
  {
    const ServerIndex successor = selector_.choose(shard);
    std::optional<base::ServerId> successorId;
    if (successor != kNoServer) {
      selector_.addSuccessor(successor);
      selector_.incrementTotal(successor);
      successorId = map_.server(successor).id;
    }
    plan_.moves.push_back({ shard,
                            map_.server(evicted).id,
                            map_.server(newOwner).id,
                            successorId,
                            MoveReason::ServerLost });
  }

  const ShardMap& map_;
  SuccessorSelector selector_;
  Plan plan_;
};

} // namespace

Plan planFailover(const ShardMap& map,
                  const base::ServerId& evicted,
                  std::span<const ServerView> servers,
                  std::span<const base::DomainId> domainsOut)
{
  const ServerIndex evictedIndex = map.indexOf(evicted);
  if (evictedIndex == kNoServer) {
    return {};
  }
  const ServerTable serverTable(map, withServerLost(servers, evicted), domainsOut);
  std::vector<bool> isNewOwner(serverTable.size());
  for (const base::ShardId shard : map.shardsOf(evictedIndex)) {
    const ServerIndex successor = map.row(shard).successor;
    if (successor != kNoServer) {
      isNewOwner[successor.value()] = true;
    }
  }
  FailoverPlanner planner(map, serverTable);
  for (std::uint32_t i = 0; i < serverTable.size(); ++i) {
    if (isNewOwner[i]) {
      planner.planNewOwner(evictedIndex, ServerIndex(i));
    }
  }
  return planner.takePlan();
}

} // namespace sycamore::placement
