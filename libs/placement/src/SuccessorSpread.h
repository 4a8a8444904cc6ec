#pragma once

#include "Fleet.h"

#include <placement/ShardMap.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore::placement {

// Chooses the successors of one owner's shards so that they spread evenly over the other servers.
// Kept for one owner at a time, because a table of all pairs takes 16 MB at 2,000 servers.
class SuccessorSpread
{
public:
  explicit SuccessorSpread(const Fleet& fleet);

  // Starts over with another owner.
  void reset(ServerIndex owner);
  void add(ServerIndex successor);
  void remove(ServerIndex successor);

  // The best successor for a shard: in another failure domain, warm, with the fewest shards of this
  // owner, then of all owners, then by rendezvous. kNoServer when no other server can take shards.
  ServerIndex choose(base::ShardId shard) const;
  // True when the successor can't stay: it can't take shards, or shares the owner's domain although
  // a warm server elsewhere exists.
  bool mustReplace(ServerIndex successor) const;
  // True when another server has at least two fewer of the owner's shards.
  bool isCrowded(ServerIndex successor);

  std::uint32_t count(ServerIndex successor) const { return counts_[successor.value()]; }
  // Shards of all owners that a server succeeds; kept over reset().
  void addTotal(ServerIndex successor) { ++totals_[successor.value()]; }

private:
  // 0 is best: warm and in another domain.
  int rank(ServerIndex candidate) const;

  const Fleet& fleet_;
  ServerIndex owner_ = kNoServer;
  std::vector<std::uint32_t> counts_;
  std::vector<std::uint32_t> totals_;
  std::vector<ServerIndex> targets_;
  // The least count among warm targets in other domains; computed when asked for.
  std::optional<std::uint32_t> fewest_;
};

} // namespace sycamore::placement
