#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a checker that would not notice the loss of one rule of the backend
// servers.

TEST_CASE("the checker finds servers that don't check terms")
{
  CHECK(breaksSafety(findHarm<NoTermCheck>("no term check")));
}

TEST_CASE("the checker finds grants that count from their receipt")
{
  CHECK(breaksSafety(findHarm<ValidityFromReceipt>("validity from receipt")));
}

TEST_CASE("the checker finds servers that take a released shard back from an old grant")
{
  CHECK(breaksSafety(findHarm<GrantsOlderThanRelease>("grants older than release")));
}
