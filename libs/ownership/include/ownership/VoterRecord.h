#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>

#include <cstdint>
#include <map>
#include <vector>

namespace sycamore::ownership {

// State of a voter for the lease of one server.
struct VoterRecord
{
  base::Term term;
  HolderId holder;
  LeaseKind kind = LeaseKind::Active;
  base::Generation rowGeneration;
  // Least map generation with which this voter accepts a new term.
  base::Generation floor;
  // Time after which no vote of this VM is valid, on any clock.
  base::TimePoint voteValidUntil;
  // The same for the votes for previous terms.
  base::TimePoint previousVoteValidUntil;
  bool holderResigned = false;
  bool recovered = false;
  // Recovery of a restarted voter: the current round, the map generation whose voters are asked,
  // and the peers that have answered. The fields above take the highest values received.
  std::uint64_t recoveryRound = 0;
  base::Generation recoveryGeneration;
  base::TimePoint nextStateRequestAt;
  std::vector<base::VmId> peers;
  std::vector<base::VmId> answeredPeers;
};

} // namespace sycamore::ownership
