#pragma once

#include <ownership/HolderId.h>
#include <ownership/ShardSet.h>

#include <cstdint>

namespace sycamore::ownership {

// Asks a server to stop new work for shards and to confirm when the running work has finished.
struct ReleaseRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  // Echoed. A late answer to an earlier release of the same shards must not confirm a later one.
  std::uint64_t id = 0;
  ShardSet shards;
};

} // namespace sycamore::ownership
