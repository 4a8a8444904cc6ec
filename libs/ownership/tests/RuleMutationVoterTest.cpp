#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a history checker that does not detect the loss of one vote rule.

TEST_CASE("the checker detects a restarted voter that votes without abstaining first")
{
  CHECK(breaksSafety(findViolation<VotesAtOnceAfterRestart>("votes at once")));
}

TEST_CASE("the checker detects holders that act on a single vote")
{
  CHECK(breaksSafety(findViolation<SingleVote>("single vote")));
}
