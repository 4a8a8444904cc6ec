#include "UrgentMoves.h"

#include <algorithm>
#include <vector>

namespace sycamore::placement {

namespace {

struct ShardToMove
{
  MoveReason reason;
  double weight;
  base::ShardId shard;
};

std::vector<ShardToMove> findShardsToMove(const WorkingMap& work)
{
  std::vector<ShardToMove> shardsToMove;
  for (std::uint32_t i = 0; i < work.serverTable().size(); ++i) {
    const ServerIndex server(i);
    const ServerTable::Role role = work.serverTable().role(server);
    if (role != ServerTable::Role::Drained && role != ServerTable::Role::Lost) {
      continue;
    }
    for (const base::ShardId shard : work.map().shardsOf(server)) {
      shardsToMove.push_back({ work.serverTable().drainReason(server), work.weight(shard), shard });
    }
  }
  std::ranges::sort(shardsToMove, [](const ShardToMove& a, const ShardToMove& b) {
    return std::tuple(a.reason, -a.weight, a.shard) < std::tuple(b.reason, -b.weight, b.shard);
  });
  return shardsToMove;
}

// Returns the least loaded live server; without a live server the least loaded cold one, because a
// drained server must not receive shards.
ServerIndex chooseTarget(const WorkingMap& work)
{
  if (!work.liveServers().empty()) {
    return work.liveServers().begin()->second;
  }
  return work.coldServers().empty() ? kNoServer : work.coldServers().begin()->second;
}

} // namespace

void planUrgentMoves(WorkingMap& work)
{
  for (const ShardToMove& entry : findShardsToMove(work)) {
    if (!work.hasMoveBudget()) {
      return;
    }
    const ServerIndex recordedSuccessor = work.map().row(entry.shard).successor;
    // The recorded successor may already serve a lost server's shard under a permit.
    const bool mustUseSuccessor =
      entry.reason == MoveReason::ServerLost && recordedSuccessor != kNoServer;
    const ServerIndex target = mustUseSuccessor ? recordedSuccessor : chooseTarget(work);
    if (target != kNoServer) {
      work.move(entry.shard, target, entry.reason);
    }
  }
}

} // namespace sycamore::placement
