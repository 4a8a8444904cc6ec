#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a history checker that does not detect the loss of one lease holder
// rule.

TEST_CASE("the checker detects an eviction while grants are in force")
{
  CHECK(breaksSafety(findViolation<NoWaitForGrants>("no wait for grants")));
}

TEST_CASE("the checker detects grants that are sent without a check of the votes")
{
  CHECK(breaksSafety(findViolation<NoVoteCheckBeforeSend>("no check before send")));
}

TEST_CASE("the checker detects map writes without a raised floor")
{
  CHECK(breaksSafety(findViolation<NoFloor>("no floor")));
}
