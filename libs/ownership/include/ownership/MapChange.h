#pragma once

#include <ownership/ChangeKind.h>
#include <ownership/ShardSet.h>

#include <cstdint>
#include <vector>

namespace sycamore::ownership {

// A change of the shard map by the holder, from its start until its result is known.
struct MapChange
{
  enum class Stage
  {
    Releasing,    // the server finishes its running work
    RaisingFloor, // until a majority has the floor base + 1
    Writing       // the write may be under way; only a newer generation ends this
  };

  ChangeKind kind = ChangeKind::Move;
  Stage stage = Stage::Releasing;
  // The write must be conditional on exactly this generation.
  base::Generation base;
  ShardSet shards;
  std::vector<base::VmId> voters;
  std::uint64_t releaseId = 0;
};

} // namespace sycamore::ownership
