#pragma once

namespace sycamore::ownership {

// Why a voter gave or refused its vote.
enum class VoteAnswer
{
  Granted,
  Abstaining, // restarted less than a vote and a grant ago
  Recovering, // restarted, and floor and term are not relearned yet
  StaleTerm,  // a higher term, or another holder of the same term, is known
  StaleMap,   // the map generation is below the floor
  MustWait    // an earlier vote, or a grant under it, may still be in force
};

} // namespace sycamore::ownership
