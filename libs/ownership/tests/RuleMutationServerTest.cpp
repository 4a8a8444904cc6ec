#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a history checker that does not detect the loss of one backend server
// rule.

TEST_CASE("the checker detects servers that don't check terms")
{
  CHECK(breaksSafety(findViolation<NoTermCheck>("no term check")));
}

TEST_CASE("the checker detects grants whose lifetime is counted from their receipt")
{
  CHECK(breaksSafety(findViolation<ValidityFromReceipt>("validity from receipt")));
}

TEST_CASE("the checker detects servers that accept a released shard again by an old grant")
{
  CHECK(breaksSafety(findViolation<GrantsOlderThanRelease>("grants older than release")));
}
