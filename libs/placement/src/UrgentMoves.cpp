#include "UrgentMoves.h"

#include <algorithm>
#include <vector>

namespace sycamore::placement {

namespace {

struct Evacuee
{
  MoveReason reason;
  double weight;
  base::ShardId shard;
};

std::vector<Evacuee> collect(const WorkingMap& work)
{
  std::vector<Evacuee> evacuees;
  for (std::uint32_t i = 0; i < work.fleet().size(); ++i) {
    const ServerIndex server(i);
    const Fleet::Role role = work.fleet().role(server);
    if (role != Fleet::Role::Drained && role != Fleet::Role::Lost) {
      continue;
    }
    for (const base::ShardId shard : work.map().shardsOf(server)) {
      evacuees.push_back({ work.fleet().drainReason(server), work.weight(shard), shard });
    }
  }
  std::ranges::sort(evacuees, [](const Evacuee& a, const Evacuee& b) {
    return std::tuple(a.reason, -a.weight, a.shard) < std::tuple(b.reason, -b.weight, b.shard);
  });
  return evacuees;
}

// The least loaded live server; without one, the least loaded cold one, because a drained server
// must not get new work.
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
  for (const Evacuee& evacuee : collect(work)) {
    if (!work.mayMove()) {
      return;
    }
    const ServerIndex recorded = work.map().row(evacuee.shard).successor;
    // The recorded successor may already serve a lost server's shard by a permit.
    const bool bound = evacuee.reason == MoveReason::ServerLost && recorded != kNoServer;
    const ServerIndex target = bound ? recorded : chooseTarget(work);
    if (target != kNoServer) {
      work.move(evacuee.shard, target, evacuee.reason);
    }
  }
}

} // namespace sycamore::placement
