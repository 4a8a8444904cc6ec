#pragma once

#include <ownership/PermitTable.h>

#include <algorithm>

namespace sycamore::ownership {

template<OwnershipRules Rules>
void BasicPermitTable<Rules>::apply(const Permit& permit, base::TimePoint askedAt)
{
  Entry& entry = entries_[permit.to][permit.from];
  const base::TimePoint until = askedAt + permit.remaining;
  if (permit.term < entry.term || (permit.term == entry.term && until <= entry.validUntil)) {
    return;
  }
  entry = { permit.term, permit.generation, permit.shards, until };
}

template<OwnershipRules Rules>
base::TimePoint BasicPermitTable<Rules>::validUntil(const base::ServerId& to,
                                                    base::TimePoint now) const
{
  base::TimePoint result{};
  const auto found = entries_.find(to);
  if (found == entries_.end()) {
    return result;
  }
  for (const auto& [from, entry] : found->second) {
    if (now < entry.validUntil) {
      result = result == base::TimePoint{} ? entry.validUntil : std::min(result, entry.validUntil);
    }
  }
  return result;
}

template<OwnershipRules Rules>
void BasicPermitTable<Rules>::dropExpired(base::TimePoint now)
{
  for (auto& [to, permits] : entries_) {
    std::erase_if(permits, [&](const auto& item) { return now >= item.second.validUntil; });
  }
  std::erase_if(entries_, [](const auto& item) { return item.second.empty(); });
}

} // namespace sycamore::ownership
