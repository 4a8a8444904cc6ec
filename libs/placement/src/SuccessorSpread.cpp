#include "SuccessorSpread.h"

#include "Rendezvous.h"

#include <algorithm>
#include <limits>
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
  fewest_.reset();
  std::ranges::fill(counts_, 0);
}

void SuccessorSpread::add(ServerIndex successor)
{
  if (successor != kNoServer) {
    ++counts_[successor.value()];
    fewest_.reset();
  }
}

void SuccessorSpread::remove(ServerIndex successor)
{
  if (successor != kNoServer) {
    --counts_[successor.value()];
    fewest_.reset();
    --totals_[successor.value()];
  }
}

ServerIndex SuccessorSpread::choose(base::ShardId shard) const
{
  ServerIndex best = kNoServer;
  std::tuple<int, std::uint32_t, std::uint32_t> bestCost;
  std::uint64_t bestScore = 0;
  for (const ServerIndex candidate : targets_) {
    if (candidate == owner_) {
      continue;
    }
    const std::uint32_t at = candidate.value();
    const std::tuple cost(rank(candidate), counts_[at], totals_[at]);
    if (best != kNoServer && cost > bestCost) {
      continue;
    }
    const std::uint64_t score = rendezvousScore(shard.value(), fleet_.hash(candidate));
    if (best == kNoServer || cost < bestCost || score > bestScore) {
      best = candidate;
      bestCost = cost;
      bestScore = score;
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

bool SuccessorSpread::isCrowded(ServerIndex successor)
{
  if (successor == kNoServer || count(successor) < 2) {
    return false;
  }
  if (!fewest_) {
    fewest_ = std::numeric_limits<std::uint32_t>::max();
    for (const ServerIndex target : targets_) {
      if (target != owner_ && rank(target) == 0) {
        fewest_ = std::min(*fewest_, count(target));
      }
    }
  }
  return *fewest_ < count(successor) - 1;
}

int SuccessorSpread::rank(ServerIndex candidate) const
{
  const int domainRank = fleet_.sameDomain(candidate, owner_) ? 2 : 0;
  return domainRank + (fleet_.role(candidate) == Fleet::Role::Cold ? 1 : 0);
}

} // namespace sycamore::placement
