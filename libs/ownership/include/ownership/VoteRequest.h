#pragma once

#include <base/Time.h>
#include <ownership/FloorProof.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>

#include <optional>
#include <vector>

namespace sycamore::ownership {

// Asks one voter to give its vote for a server's lease, or to renew it.
struct VoteRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  LeaseKind kind = LeaseKind::Active;
  // Generation of the holder's map; for Evicted, of the map whose successors get permits.
  base::Generation generation;
  // Last generation that changed the server's row in that map.
  base::Generation rowGeneration;
  // Value to which the voter raises its floor if it accepts the request. 0 leaves it unchanged.
  base::Generation floor;
  // The other voters of the receiver's set, from which a restarted receiver recovers its state.
  std::vector<base::VmId> peers;
  std::optional<FloorProof> proof;
  // Copied from the row. If it is false, a new holder has to wait until old grants have expired.
  bool checksTokens = true;
  // The holder gives up the lease: the voter no longer protects it from higher terms.
  bool resign = false;
  // Reading of the holder's clock, echoed by the reply. Opaque to the voter.
  base::TimePoint askedAt;
};

} // namespace sycamore::ownership
