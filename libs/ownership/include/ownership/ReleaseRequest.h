#pragma once

#include <ownership/HolderId.h>
#include <ownership/ShardSet.h>

#include <cstdint>

namespace sycamore::ownership {

// Asks a server to start no more executions for the shards and to confirm once the running ones
// have finished.
struct ReleaseRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  // Echoed by the reply: a late answer to a previous release of the same shards must not confirm
  // this one.
  std::uint64_t id = 0;
  ShardSet shards;
};

} // namespace sycamore::ownership
