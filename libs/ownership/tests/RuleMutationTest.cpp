#include "model/ScheduleRunner.h"

#include <doctest/doctest.h>

using namespace sycamore::ownership;
using namespace sycamore::ownership::model;

namespace {

// One broken rule each.
struct NoTermCheck : StandardRules
{
  static constexpr bool kCheckTerms = false;
};

struct NoWaitForGrants : StandardRules
{
  static constexpr bool kWaitOutGrants = false;
};

struct VotesAtOnceAfterRestart : StandardRules
{
  static constexpr bool kAbstainAfterRestart = false;
};

struct ValidityFromReceipt : StandardRules
{
  static constexpr bool kValidityFromEcho = false;
};

struct NoVoteCheckBeforeSend : StandardRules
{
  static constexpr bool kCheckVotesBeforeSend = false;
};

struct NoFloor : StandardRules
{
  static constexpr bool kRaiseFloor = false;
};

struct SingleVote : StandardRules
{
  static constexpr std::size_t majority(std::size_t) { return 1; }
};

struct GrantsOlderThanRelease : StandardRules
{
  static constexpr bool kIgnoreGrantsOlderThanRelease = false;
};

struct FloorOnLapsedVotes : StandardRules
{
  static constexpr bool kCountFloorOnValidVotesOnly = false;
};

struct RunsConfused : StandardRules
{
  static constexpr bool kDistinguishRuns = false;
};

struct PermitsNotCheckedAgainstMap : StandardRules
{
  static constexpr bool kCheckPermitsAgainstMap = false;
};

struct ShardsInDoubtPermitted : StandardRules
{
  static constexpr bool kWithholdShardsInDoubt = false;
};

// The checker must find the harm within this many schedules.
constexpr std::uint64_t kSchedules = 6000;

template<OwnershipRules Rules>
RunReport
findHarm(const char* name)
{
  const RunReport report = runSchedules<Rules>(1, kSchedules);
  MESSAGE(name << ": seed " << report.failingSeed.value_or(0) << ", " << report.violation);
  return report;
}

bool
breaksSafety(const RunReport& report)
{
  return report.failingSeed && report.violation.find("not served") == std::string::npos;
}

} // namespace

// Each case guards against a checker that would not notice the loss of one rule.

TEST_CASE("the checker finds servers that don't check terms")
{
  CHECK(breaksSafety(findHarm<NoTermCheck>("no term check")));
}

TEST_CASE("the checker finds a holder that evicts while grants are in force")
{
  CHECK(breaksSafety(findHarm<NoWaitForGrants>("no wait for grants")));
}

TEST_CASE("the checker finds a restarted voter that votes at once")
{
  CHECK(breaksSafety(findHarm<VotesAtOnceAfterRestart>("votes at once")));
}

TEST_CASE("the checker finds grants that count from their receipt")
{
  CHECK(breaksSafety(findHarm<ValidityFromReceipt>("validity from receipt")));
}

TEST_CASE("the checker finds grants sent without a check of the votes")
{
  CHECK(breaksSafety(findHarm<NoVoteCheckBeforeSend>("no check before send")));
}

TEST_CASE("the checker finds map writes without a raised floor")
{
  CHECK(breaksSafety(findHarm<NoFloor>("no floor")));
}

TEST_CASE("the checker finds holders with a single vote")
{
  CHECK(breaksSafety(findHarm<SingleVote>("single vote")));
}

TEST_CASE("the checker finds servers that take a released shard back from an old grant")
{
  CHECK(breaksSafety(findHarm<GrantsOlderThanRelease>("grants older than release")));
}

TEST_CASE("the checker finds a floor counted on lapsed votes")
{
  CHECK(breaksSafety(findHarm<FloorOnLapsedVotes>("floor on lapsed votes")));
}

TEST_CASE("the checker finds a restarted holder that continues its term")
{
  CHECK(breaksSafety(findHarm<RunsConfused>("runs confused")));
}

TEST_CASE("the checker finds permits used after the shard has moved on")
{
  CHECK(breaksSafety(findHarm<PermitsNotCheckedAgainstMap>("permits not checked")));
}

TEST_CASE("the checker finds permits for a shard whose move is in doubt")
{
  CHECK(breaksSafety(findHarm<ShardsInDoubtPermitted>("shards in doubt permitted")));
}
