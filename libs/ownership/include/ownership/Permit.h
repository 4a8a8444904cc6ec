#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/ShardSet.h>

namespace sycamore::ownership {

// Permission to grant shards of the evicted server `from` to the server `to`, under the term of
// `from`. It is valid for `remaining`, counted by the receiver from the time of its request.
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
