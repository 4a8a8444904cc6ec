#pragma once

#include <ownership/OwnershipRules.h>
#include <ownership/ReceivedVote.h>

#include <algorithm>
#include <map>
#include <vector>

namespace sycamore::ownership {

// The votes of one term, counted in one voter set, or in two while the voters change.
template<OwnershipRules Rules>
class VoteQuorum
{
public:
  void setVoters(std::vector<std::vector<base::VmId>> sets) { sets_ = std::move(sets); }
  const std::vector<std::vector<base::VmId>>& sets() const { return sets_; }

  void add(const base::VmId& voter, const ReceivedVote& vote);
  void remove(const base::VmId& voter) { votes_.erase(voter); }
  void clear() { votes_.clear(); }

  // Until when majorities of all sets support this kind; the epoch if they never did.
  base::TimePoint validUntil(LeaseKind kind) const;
  bool valid(LeaseKind kind, base::TimePoint now) const { return now < validUntil(kind); }

  // Whether majorities of all sets have the floor. Only votes still valid count: a voter whose vote
  // has lapsed may have restarted and relearned before the floor reached the others.
  bool hasFloor(base::Generation floor, base::TimePoint now) const;

private:
  base::TimePoint validUntil(const std::vector<base::VmId>& set, LeaseKind kind) const;
  bool hasFloor(const std::vector<base::VmId>& set,
                base::Generation floor,
                base::TimePoint now) const;

  std::vector<std::vector<base::VmId>> sets_;
  std::map<base::VmId, ReceivedVote> votes_;
};

template<OwnershipRules Rules>
void VoteQuorum<Rules>::add(const base::VmId& voter, const ReceivedVote& vote)
{
  ReceivedVote& held = votes_[voter];
  if (vote.until >= held.until) {
    held = vote;
  }
}

template<OwnershipRules Rules>
base::TimePoint VoteQuorum<Rules>::validUntil(LeaseKind kind) const
{
  base::TimePoint result = base::TimePoint::max();
  for (const auto& set : sets_) {
    result = std::min(result, validUntil(set, kind));
  }
  return sets_.empty() ? base::TimePoint{} : result;
}

template<OwnershipRules Rules>
base::TimePoint VoteQuorum<Rules>::validUntil(const std::vector<base::VmId>& set,
                                              LeaseKind kind) const
{
  std::vector<base::TimePoint> ends;
  for (const base::VmId& voter : set) {
    const auto vote = votes_.find(voter);
    if (vote != votes_.end() && vote->second.kind == kind) {
      ends.push_back(vote->second.until);
    }
  }
  const std::size_t needed = Rules::majority(set.size());
  if (ends.size() < needed) {
    return base::TimePoint{};
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[needed - 1];
}

template<OwnershipRules Rules>
bool VoteQuorum<Rules>::hasFloor(base::Generation floor, base::TimePoint now) const
{
  return std::all_of(
    sets_.begin(), sets_.end(), [&](const auto& set) { return hasFloor(set, floor, now); });
}

template<OwnershipRules Rules>
bool VoteQuorum<Rules>::hasFloor(const std::vector<base::VmId>& set,
                                 base::Generation floor,
                                 base::TimePoint now) const
{
  const auto count = std::count_if(set.begin(), set.end(), [&](const base::VmId& voter) {
    const auto vote = votes_.find(voter);
    return vote != votes_.end() && vote->second.floor >= floor && now < vote->second.until;
  });
  return static_cast<std::size_t>(count) >= Rules::majority(set.size());
}

} // namespace sycamore::ownership
