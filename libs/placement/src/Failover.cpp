#include <placement/Failover.h>

#include "Fleet.h"
#include "SuccessorSpread.h"

namespace sycamore::placement {

namespace {

// The servers with the evicted one marked lost, whatever the list says.
std::vector<ServerView> withLost(std::span<const ServerView> servers, const base::ServerId& evicted)
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
  FailoverPlanner(const ShardMap& map, const Fleet& fleet)
    : map_(map)
    , spread_(fleet)
  {
    map.forEachShard([&](base::ShardId, const ShardRow& row) {
      if (row.successor != kNoServer) {
        spread_.addTotal(row.successor);
      }
    });
  }

  // Plans the shards of the evicted server that go to one heir.
  void planHeir(ServerIndex evicted, ServerIndex heir)
  {
    spread_.reset(heir);
    for (const base::ShardId shard : map_.shardsOf(heir)) {
      spread_.add(map_.row(shard).successor);
    }
    for (const base::ShardId shard : map_.shardsOf(evicted)) {
      if (map_.row(shard).successor == heir) {
        planShard(shard, evicted, heir);
      }
    }
  }

  Plan take() { return std::move(plan_); }

private:
  void planShard(base::ShardId shard, ServerIndex evicted, ServerIndex heir)
  {
    const ServerIndex successor = spread_.choose(shard);
    std::optional<base::ServerId> named;
    if (successor != kNoServer) {
      spread_.add(successor);
      spread_.addTotal(successor);
      named = map_.server(successor).id;
    }
    plan_.moves.push_back(
      { shard, map_.server(evicted).id, map_.server(heir).id, named, MoveReason::ServerLost });
  }

  const ShardMap& map_;
  SuccessorSpread spread_;
  Plan plan_;
};

} // namespace

Plan planFailover(const ShardMap& map,
                  const base::ServerId& evicted,
                  std::span<const ServerView> servers,
                  std::span<const base::DomainId> domainsOut)
{
  const ServerIndex lost = map.indexOf(evicted);
  if (lost == kNoServer) {
    return {};
  }
  const Fleet fleet(map, withLost(servers, evicted), domainsOut);
  std::vector<bool> isHeir(fleet.size());
  for (const base::ShardId shard : map.shardsOf(lost)) {
    const ServerIndex successor = map.row(shard).successor;
    if (successor != kNoServer) {
      isHeir[successor.value()] = true;
    }
  }
  FailoverPlanner planner(map, fleet);
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    if (isHeir[i]) {
      planner.planHeir(lost, ServerIndex(i));
    }
  }
  return planner.take();
}

} // namespace sycamore::placement
