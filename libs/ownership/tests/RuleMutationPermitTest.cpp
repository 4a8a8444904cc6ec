#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a checker that would not notice the loss of one rule of the permits.

TEST_CASE("the checker finds permits used after the shard has moved on")
{
  CHECK(breaksSafety(findHarm<PermitsNotCheckedAgainstMap>("permits not checked")));
}

TEST_CASE("the checker finds permits for a shard whose move is in doubt")
{
  CHECK(breaksSafety(findHarm<ShardsInDoubtPermitted>("shards in doubt permitted")));
}
