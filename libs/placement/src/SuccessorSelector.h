#pragma once

#include "ServerTable.h"

#include <placement/ShardMap.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore::placement {

// Chooses the successors of one owner's shards so that they are spread evenly over the other
// servers. Holds the counts of one owner at a time, because a table of all pairs takes 16 MB with
// 2,000 servers.
class SuccessorSelector
{
public:
  explicit SuccessorSelector(const ServerTable& serverTable);

  // Clears the counts and starts with another owner.
  void startOwner(ServerIndex owner);
  void addSuccessor(ServerIndex successor);
  void removeSuccessor(ServerIndex successor);

  // Returns the best successor for a shard: in another failure domain, warm, successor of the
  // fewest shards of this owner, then of all owners, then by rendezvous hashing. Returns kNoServer
  // if no other server can take shards.
  ServerIndex choose(base::ShardId shard) const;
  // Returns whether the successor must be replaced: it can't take shards, or it is in the owner's
  // domain although there is a warm server in another domain.
  bool mustReplace(ServerIndex successor) const;
  // Returns whether another server is the successor of at least two fewer of the owner's shards.
  bool isOverrepresented(ServerIndex successor);

  std::uint32_t count(ServerIndex successor) const { return ownerCounts_[successor.value()]; }
  // Counts a shard of any owner that the server is the successor of. The totals are kept when the
  // owner changes.
  void incrementTotal(ServerIndex successor) { ++totalCounts_[successor.value()]; }

private:
  // Returns the preference of a candidate, 0 (warm and in another domain) being the best.
  int rankOf(ServerIndex candidate) const;

  const ServerTable& serverTable_;
  ServerIndex owner_ = kNoServer;
  std::vector<std::uint32_t> ownerCounts_;
  std::vector<std::uint32_t> totalCounts_;
  std::vector<ServerIndex> targets_;
  // Lowest count among warm servers in other domains; computed on demand.
  std::optional<std::uint32_t> minOwnerCount_;
};

} // namespace sycamore::placement
