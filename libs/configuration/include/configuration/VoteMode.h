#pragma once

namespace sycamore::configuration {

// Placement of the voters of a backend server. Hold: in its own failure domain, so that a
// partitioned domain keeps its keys. Move: in several domains, so that the keys of a partitioned
// domain move to the others.
enum class VoteMode
{
  Hold,
  Move
};

} // namespace sycamore::configuration
