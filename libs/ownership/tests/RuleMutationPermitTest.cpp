#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a history checker that does not detect the loss of one permit rule.

TEST_CASE("the checker detects permits that are used after the shard has moved to another owner")
{
  CHECK(breaksSafety(findViolation<PermitsNotCheckedAgainstMap>("permits not checked")));
}

TEST_CASE("the checker detects permits for a shard whose move has an unknown result")
{
  CHECK(breaksSafety(findViolation<ShardsInDoubtPermitted>("shards in doubt permitted")));
}
