#pragma once

#include <ownership/ChangeKind.h>
#include <ownership/ShardSet.h>

#include <cstdint>
#include <vector>

namespace sycamore::ownership {

// A change of the shard map by the lease holder, from its start until its result is known.
struct MapChange
{
  enum class Stage
  {
    Releasing,    // the server finishes its running executions
    RaisingFloor, // waits until a majority of the voters has raised its floor to base + 1
    Writing       // a write may be in progress; only a newer generation ends this stage
  };

  ChangeKind kind = ChangeKind::Move;
  Stage stage = Stage::Releasing;
  // Generation on which the write is conditional.
  base::Generation base;
  ShardSet shards;
  std::vector<base::VmId> voters;
  std::uint64_t releaseId = 0;
};

} // namespace sycamore::ownership
