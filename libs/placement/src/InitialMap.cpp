#include "Rendezvous.h"
#include "ServerTable.h"
#include "SuccessorRepairs.h"

#include <base/KeyHash.h>
#include <placement/MapServerList.h>
#include <placement/PlacementError.h>
#include <placement/ShardMapBuilder.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamore::placement {

namespace {

struct Candidate
{
  const ServerView* view;
  std::uint64_t hash;
  double capacity;
  std::uint32_t quota = 0;
};

std::vector<Candidate> findCandidates(std::span<const ServerView> servers)
{
  std::vector<Candidate> candidates;
  for (const ServerView& view : servers) {
    if (view.state == ServerState::Live || view.state == ServerState::Cold) {
      const double usableShare =
        view.state == ServerState::Cold ? std::max(view.warmth, 0.01) : 1.0;
      candidates.push_back(
        { &view, base::hashBytes(view.id.value()), view.capacity * usableShare });
    }
  }
  return candidates;
}

// Sets integer numbers of shards in proportion to the capacity, by the largest-remainder method.
void setQuotas(std::vector<Candidate>& candidates, std::uint32_t shardCount)
{
  double capacity = 0;
  for (const Candidate& candidate : candidates) {
    capacity += candidate.capacity;
  }
  std::vector<std::pair<double, std::size_t>> remainders;
  std::uint32_t assigned = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double exact = shardCount * candidates[i].capacity / capacity;
    candidates[i].quota = static_cast<std::uint32_t>(exact);
    assigned += candidates[i].quota;
    remainders.emplace_back(std::floor(exact) - exact, i);
  }
  std::ranges::sort(remainders);
  for (std::size_t i = 0; assigned < shardCount; ++i, ++assigned) {
    ++candidates[remainders[i % remainders.size()].second].quota;
  }
}

Candidate& chooseOwner(std::vector<Candidate>& candidates, std::uint32_t shard)
{
  Candidate* best = nullptr;
  std::uint64_t bestScore = 0;
  for (Candidate& candidate : candidates) {
    const std::uint64_t score = rendezvousScore(shard, candidate.hash);
    if (candidate.quota > 0 && (!best || score > bestScore)) {
      best = &candidate;
      bestScore = score;
    }
  }
  --best->quota;
  return *best;
}

} // namespace

ShardMap createInitialMap(const base::ServiceId& service,
                          std::uint32_t shardCount,
                          std::span<const ServerView> servers,
                          std::span<const EntryVm> entryVms,
                          VoterMode mode,
                          std::string writer)
{
  std::vector<Candidate> candidates = findCandidates(servers);
  if (candidates.empty()) {
    throw PlacementError("service " + service.value() + " has no usable server");
  }
  setQuotas(candidates, shardCount);
  ShardMapBuilder builder(service, shardCount);
  builder.setGeneration(base::Generation(1)).setWriter(std::move(writer));
  for (const Candidate& candidate : candidates) {
    const ServerView& view = *candidate.view;
    const auto voters = chooseVoters(view.id, view.domain, mode, {}, entryVms);
    builder.setServer(view.id, { view.address, view.domain, voters });
  }
  for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
    builder.assign(base::ShardId(shard), chooseOwner(candidates, shard).view->id, std::nullopt);
  }
  const ShardMap owners = builder.build();
  const ServerTable serverTable(owners, servers, {});
  const auto skipNone = [](base::ShardId) { return false; };
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  for (const SuccessorChange& change :
       repairSuccessors(owners, serverTable, skipNone, kUnlimited)) {
    builder.assign(change.shard, owners.owner(change.shard), change.successor);
  }
  return builder.build();
}

} // namespace sycamore::placement
