#pragma once

namespace sycamore::ownership {

// Answer of a voter: its vote, or why it refused the request.
enum class VoteAnswer
{
  Granted,
  Abstaining, // restarted less than the lifetime of a vote and a grant ago
  Recovering, // restarted, and has not yet recovered floor and term
  StaleTerm,  // the voter knows a higher term, or another holder of the same term
  StaleMap,   // the map generation is below the floor
  MustWait    // a previous vote, or a grant under it, may still be in force
};

} // namespace sycamore::ownership
