#include "SuccessorSpread.h"

#include "Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace sycamore::placement {

SuccessorSpread::SuccessorSpread(const Fleet& fleet)
  : fleet_(fleet)
  , counts_(fleet.size())
  , totals_(fleet.size())
{
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    if (fleet.isTarget(ServerIndex(i))) {
      targets_.emplace_back(i);
    }
  }
}

void SuccessorSpread::reset(ServerIndex owner)
{
  owner_ = owner;
  std::ranges::fill(counts_, 0);
}

void SuccessorSpread::add(ServerIndex successor)
{
  if (successor != kNoServer) {
    ++counts_[successor.value()];
  }
}

void SuccessorSpread::remove(ServerIndex successor)
{
  if (successor != kNoServer) {
    --counts_[successor.value()];
    --totals_[successor.value()];
  }
}

ServerIndex SuccessorSpread::choose(base::ShardId shard) const
{
  ServerIndex best = kNoServer;
  std::tuple<int, std::uint32_t, std::uint32_t, std::uint64_t> bestCost;
  for (const ServerIndex candidate : targets_) {
    if (candidate == owner_) {
      continue;
    }
    const std::uint32_t at = candidate.value();
    const std::uint64_t score = rendezvousScore(shard.value(), fleet_.hash(candidate));
    const std::tuple cost(rank(candidate), counts_[at], totals_[at], ~score);
    if (best == kNoServer || cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

bool SuccessorSpread::mustReplace(ServerIndex successor) const
{
  if (successor == kNoServer) {
    return std::ranges::any_of(targets_, [&](ServerIndex target) { return target != owner_; });
  }
  if (fleet_.role(successor) == Fleet::Role::Unknown) {
    return false;
  }
  if (!fleet_.isTarget(successor)) {
    return true;
  }
  return fleet_.sameDomain(successor, owner_) &&
         std::ranges::any_of(targets_, [&](ServerIndex target) { return rank(target) == 0; });
}

bool SuccessorSpread::isCrowded(ServerIndex successor) const
{
  if (successor == kNoServer || count(successor) < 2) {
    return false;
  }
  return std::ranges::any_of(targets_, [&](ServerIndex target) {
    return target != owner_ && rank(target) <= rank(successor) && rank(target) == 0 &&
           count(target) + 2 <= count(successor);
  });
}

int SuccessorSpread::rank(ServerIndex candidate) const
{
  const int domainRank = fleet_.sameDomain(candidate, owner_) ? 2 : 0;
  return domainRank + (fleet_.role(candidate) == Fleet::Role::Cold ? 1 : 0);
}

} // namespace sycamore::placement
