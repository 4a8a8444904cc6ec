#pragma once

#include <ownership/OwnershipRules.h>
#include <ownership/Permit.h>

#include <concepts>
#include <map>
#include <utility>

namespace sycamore::ownership {

// View of the receiver's shard map: its generation, and the shards that a server has owned with the
// same successor since a given generation or longer.
template<typename T>
concept OwnerView = requires(const T& view, const base::ServerId& server)
{
  {
    view.generation()
    } -> std::convertible_to<base::Generation>;
  {
    view.ownedSince(server, base::Generation())
    } -> std::convertible_to<ShardSet>;
};

// The permits that an entry VM has received for the servers whose leases it holds. Used by the
// control thread only.
template<OwnershipRules Rules>
class BasicPermitTable
{
public:
  // Stores a permit. askedAt: time at which this VM requested it. A notification that was not
  // requested carries no permit.
  void apply(const Permit& permit, base::TimePoint askedAt);

  // Returns the shards that may be granted to `to` in addition to its own, checked against the map
  // in use: if that is at least as new as the permit, a shard counts only if the evicted server has
  // owned it since the permit's generation. Otherwise the successor may have become its owner by a
  // map write and may have passed it on since, even back to the evicted server.
  template<OwnerView View>
  ShardSet grantable(const base::ServerId& to, const View& map, base::TimePoint now) const;

  // Returns the time until which all of these shards may be granted: the earliest expiry of the
  // permits in force, or the epoch if there is none.
  base::TimePoint validUntil(const base::ServerId& to, base::TimePoint now) const;
  void dropExpired(base::TimePoint now);

private:
  struct Entry
  {
    base::Term term;
    base::Generation generation;
    ShardSet shards;
    base::TimePoint validUntil;
  };

  // By receiving server, then by evicted server.
  std::map<base::ServerId, std::map<base::ServerId, Entry>> entries_;
};

template<OwnershipRules Rules>
template<OwnerView View>
ShardSet BasicPermitTable<Rules>::grantable(const base::ServerId& to,
                                            const View& map,
                                            base::TimePoint now) const
{
  ShardSet result;
  const auto found = entries_.find(to);
  if (found == entries_.end()) {
    return result;
  }
  for (const auto& [from, entry] : found->second) {
    if (now >= entry.validUntil) {
      continue;
    }
    ShardSet shards = entry.shards;
    if (Rules::kCheckPermitsAgainstMap && map.generation() >= entry.generation) {
      shards.intersect(map.ownedSince(from, entry.generation));
    }
    result.insert(shards);
  }
  return result;
}

extern template class BasicPermitTable<StandardRules>;
using PermitTable = BasicPermitTable<StandardRules>;

} // namespace sycamore::ownership
