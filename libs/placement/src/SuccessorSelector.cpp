#include "SuccessorSelector.h"

#include "Rendezvous.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sycamore::placement {

SuccessorSelector::SuccessorSelector(const ServerTable& serverTable)
  : serverTable_(serverTable)
  , ownerCounts_(serverTable.size())
  , totalCounts_(serverTable.size())
{
  for (std::uint32_t i = 0; i < serverTable.size(); ++i) {
    if (serverTable.canReceive(ServerIndex(i))) {
      targets_.emplace_back(i);
    }
  }
}

void SuccessorSelector::startOwner(ServerIndex owner)
{
  owner_ = owner;
  minOwnerCount_.reset();
  std::ranges::fill(ownerCounts_, 0);
}

void SuccessorSelector::addSuccessor(ServerIndex successor)
{
  if (successor != kNoServer) {
    ++ownerCounts_[successor.value()];
    minOwnerCount_.reset();
  }
}

void SuccessorSelector::removeSuccessor(ServerIndex successor)
{
  if (successor != kNoServer) {
    --ownerCounts_[successor.value()];
    minOwnerCount_.reset();
    --totalCounts_[successor.value()];
  }
}

ServerIndex SuccessorSelector::choose(base::ShardId shard) const
{
  ServerIndex best = kNoServer;
  std::tuple<int, std::uint32_t, std::uint32_t> bestCost;
  std::uint64_t bestScore = 0;
  for (const ServerIndex candidate : targets_) {
    if (candidate == owner_) {
      continue;
    }
    const std::uint32_t index = candidate.value();
    const std::tuple cost(rankOf(candidate), ownerCounts_[index], totalCounts_[index]);
    if (best != kNoServer && cost > bestCost) {
      continue;
    }
    const std::uint64_t score = rendezvousScore(shard.value(), serverTable_.hash(candidate));
    if (best == kNoServer || cost < bestCost || score > bestScore) {
      best = candidate;
      bestCost = cost;
      bestScore = score;
    }
  }
  return best;
}

bool SuccessorSelector::mustReplace(ServerIndex successor) const
{
  if (successor == kNoServer) {
    return std::ranges::any_of(targets_, [&](ServerIndex target) { return target != owner_; });
  }
  if (serverTable_.role(successor) == ServerTable::Role::Unknown) {
    return false;
  }
  if (!serverTable_.canReceive(successor)) {
    return true;
  }
  return serverTable_.sameDomain(successor, owner_) &&
         std::ranges::any_of(targets_, [&](ServerIndex target) { return rankOf(target) == 0; });
}

bool SuccessorSelector::isOverrepresented(ServerIndex successor)
{
  if (successor == kNoServer || count(successor) < 2) {
    return false;
  }
  if (!minOwnerCount_) {
    minOwnerCount_ = std::numeric_limits<std::uint32_t>::max();
    for (const ServerIndex target : targets_) {
      if (target != owner_ && rankOf(target) == 0) {
        minOwnerCount_ = std::min(*minOwnerCount_, count(target));
      }
    }
  }
  return *minOwnerCount_ < count(successor) - 1;
}

int SuccessorSelector::rankOf(ServerIndex candidate) const
{
  const int domainRank = serverTable_.sameDomain(candidate, owner_) ? 2 : 0;
  return domainRank + (serverTable_.role(candidate) == ServerTable::Role::Cold ? 1 : 0);
}

} // namespace sycamore::placement
