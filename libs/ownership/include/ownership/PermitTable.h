#pragma once

#include <ownership/OwnershipRules.h>
#include <ownership/Permit.h>

#include <concepts>
#include <map>
#include <utility>

namespace sycamore::ownership {

// What the receiver of permits knows of the shard map: its generation, and which shards a server
// has owned with the same successor since a generation or longer.
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

// The permits that an entry VM has received for the servers it holds. Used by the control thread
// only.
template<OwnershipRules Rules>
class BasicPermitTable
{
public:
  // askedAt: when this VM asked for the permit. A hint pushed without a question gives no permit.
  void apply(const Permit& permit, base::TimePoint askedAt);

  // The shards that may be granted to `to` in addition to its own, checked against the map in use:
  // if that is as new as the permit, a shard counts only if the evicted server has owned it since.
  // Its successor may have got it by a write and passed it on, even back to the evicted server.
  template<OwnerView View>
  ShardSet grantable(const base::ServerId& to, const View& map, base::TimePoint now) const;

  // Until when all of these may be granted; the earliest of the permits in force, or the epoch.
  base::TimePoint until(const base::ServerId& to, base::TimePoint now) const;
  void dropExpired(base::TimePoint now);

private:
  struct Entry
  {
    base::Term term;
    base::Generation generation;
    ShardSet shards;
    base::TimePoint until;
  };

  // By receiver, then by evicted server.
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
    if (now >= entry.until) {
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
