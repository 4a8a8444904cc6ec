#pragma once

#include <base/Ids.h>

namespace sycamore::ownership {

// Proof for a restarted voter that it can have forgotten no floor above `generation`. Either that
// map generation was written after the proposer had learned of this incarnation of the voter, or
// the proposer holds the server lease by the votes of others and this voter is about to join them.
struct FloorProof
{
  base::Incarnation voterIncarnation;
  base::Generation generation;
};

} // namespace sycamore::ownership
