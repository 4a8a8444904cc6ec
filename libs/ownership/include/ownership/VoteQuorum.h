#pragma once

#include <ownership/OwnershipRules.h>
#include <ownership/ReceivedVote.h>

#include <algorithm>
#include <map>
#include <vector>

namespace sycamore::ownership {

// The votes of one term, counted in one voter set, or in two while the voters are being replaced.
template<OwnershipRules Rules>
class VoteQuorum
{
public:
  void setVoters(std::vector<std::vector<base::VmId>> voterSets)
  {
    voterSets_ = std::move(voterSets);
  }
  const std::vector<std::vector<base::VmId>>& voterSets() const { return voterSets_; }

  void add(const base::VmId& voter, const ReceivedVote& vote);
  void remove(const base::VmId& voter) { votes_.erase(voter); }
  void clear() { votes_.clear(); }

  // Returns the time until which majorities of all voter sets support this kind of lease; the epoch
  // if there are no such majorities.
  base::TimePoint validUntil(LeaseKind kind) const;
  bool isValid(LeaseKind kind, base::TimePoint now) const { return now < validUntil(kind); }

  // Returns whether majorities of all voter sets have the floor. Only votes that are still valid
  // count: a voter whose vote has lapsed may have restarted and recovered its state from the others
  // before the floor reached them.
  bool hasFloor(base::Generation floor, base::TimePoint now) const;

private:
  base::TimePoint validUntil(const std::vector<base::VmId>& set, LeaseKind kind) const;
  bool hasFloor(const std::vector<base::VmId>& set,
                base::Generation floor,
                base::TimePoint now) const;

  std::vector<std::vector<base::VmId>> voterSets_;
  std::map<base::VmId, ReceivedVote> votes_;
};

template<OwnershipRules Rules>
void VoteQuorum<Rules>::add(const base::VmId& voter, const ReceivedVote& vote)
{
  ReceivedVote& held = votes_[voter];
  if (vote.validUntil >= held.validUntil) {
    held = vote;
  }
}

template<OwnershipRules Rules>
base::TimePoint VoteQuorum<Rules>::validUntil(LeaseKind kind) const
{
  base::TimePoint result = base::TimePoint::max();
  for (const auto& set : voterSets_) {
    result = std::min(result, validUntil(set, kind));
  }
  return voterSets_.empty() ? base::TimePoint{} : result;
}

template<OwnershipRules Rules>
base::TimePoint VoteQuorum<Rules>::validUntil(const std::vector<base::VmId>& set,
                                              LeaseKind kind) const
{
  std::vector<base::TimePoint> expiryTimes;
  for (const base::VmId& voter : set) {
    const auto vote = votes_.find(voter);
    if (vote != votes_.end() && vote->second.kind == kind) {
      expiryTimes.push_back(vote->second.validUntil);
    }
  }
  const std::size_t needed = Rules::majority(set.size());
  if (expiryTimes.size() < needed) {
    return base::TimePoint{};
  }
  std::sort(expiryTimes.begin(), expiryTimes.end(), std::greater<>());
  return expiryTimes[needed - 1];
}

template<OwnershipRules Rules>
bool VoteQuorum<Rules>::hasFloor(base::Generation floor, base::TimePoint now) const
{
  return std::all_of(voterSets_.begin(), voterSets_.end(), [&](const auto& set) {
    return hasFloor(set, floor, now);
  });
}

template<OwnershipRules Rules>
bool VoteQuorum<Rules>::hasFloor(const std::vector<base::VmId>& set,
                                 base::Generation floor,
                                 base::TimePoint now) const
{
  const auto count = std::count_if(set.begin(), set.end(), [&](const base::VmId& voter) {
    const auto vote = votes_.find(voter);
    return vote != votes_.end() && vote->second.floor >= floor && now < vote->second.validUntil;
  });
  return static_cast<std::size_t>(count) >= Rules::majority(set.size());
}

} // namespace sycamore::ownership
