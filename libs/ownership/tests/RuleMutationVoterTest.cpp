#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a checker that would not notice the loss of one rule of the votes.

TEST_CASE("the checker finds a restarted voter that votes at once")
{
  CHECK(breaksSafety(findHarm<VotesAtOnceAfterRestart>("votes at once")));
}

TEST_CASE("the checker finds holders with a single vote")
{
  CHECK(breaksSafety(findHarm<SingleVote>("single vote")));
}
