#include "model/Mutations.h"

using namespace sycamore::ownership::model;

// Each case guards against a checker that would not notice the loss of one rule of the holders.

TEST_CASE("the checker finds a holder that evicts while grants are in force")
{
  CHECK(breaksSafety(findHarm<NoWaitForGrants>("no wait for grants")));
}

TEST_CASE("the checker finds grants sent without a check of the votes")
{
  CHECK(breaksSafety(findHarm<NoVoteCheckBeforeSend>("no check before send")));
}

TEST_CASE("the checker finds map writes without a raised floor")
{
  CHECK(breaksSafety(findHarm<NoFloor>("no floor")));
}
