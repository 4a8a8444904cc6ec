#pragma once

namespace sycamore::configuration {

// Where the voters of a backend server are. Hold: in its own failure domain, so that a cut-off
// domain keeps its keys. Move: spread, so that a cut-off domain loses its keys to the others.
enum class VoteMode
{
  Hold,
  Move
};

} // namespace sycamore::configuration
