#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/ShardSet.h>

namespace sycamore::ownership {

// Leave to grant shards of the evicted server `from` to the server `to`, under the term of `from`.
// The receiver counts `remaining` from when it asked.
struct Permit
{
  base::ServerId from;
  base::ServerId to;
  base::Term term;
  base::Generation generation;
  ShardSet shards;
  base::Duration remaining{};
};

} // namespace sycamore::ownership
