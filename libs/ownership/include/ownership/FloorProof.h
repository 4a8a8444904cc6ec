#pragma once

#include <base/Ids.h>

namespace sycamore::ownership {

// States that every floor which the named run of a voter may have forgotten is at most
// `generation`: that map generation was written after the proposer had heard of this run, or the
// proposer holds the tenancy by other voters and this one is about to join them.
struct FloorProof
{
  base::Incarnation voterIncarnation;
  base::Generation generation;
};

} // namespace sycamore::ownership
