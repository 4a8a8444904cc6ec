#pragma once

#include <base/Time.h>
#include <ownership/FloorProof.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>

#include <optional>
#include <vector>

namespace sycamore::ownership {

// Asks one voter for its vote for a server's tenancy, or to renew it.
struct VoteRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  LeaseKind kind = LeaseKind::Active;
  // The holder's map; for Evicted the one whose successors get permits.
  base::Generation generation;
  // The last generation that changed the server's row in that map.
  base::Generation rowGeneration;
  // The voter raises its floor to this, if it accepts the request. 0 leaves it.
  base::Generation floor;
  // The other voters of the receiver's set: a restarted receiver relearns from them.
  std::vector<base::VmId> peers;
  std::optional<FloorProof> proof;
  // Copied from the row: without it a new holder has to wait until old grants have expired.
  bool checksTokens = true;
  // The holder gives the tenancy up: the voter no longer protects it from higher terms.
  bool resign = false;
  // The holder's own time, echoed by the reply. Opaque to the voter.
  base::TimePoint askedAt;
};

} // namespace sycamore::ownership
