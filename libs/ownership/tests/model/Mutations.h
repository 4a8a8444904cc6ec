#pragma once

#include "ScheduleRunner.h"

#include <doctest/doctest.h>

namespace sycamore::ownership::model {

// One broken rule each.
struct NoTermCheck : StandardRules
{
  static constexpr bool kCheckTerms = false;
};

struct NoWaitForGrants : StandardRules
{
  static constexpr bool kWaitForGrantExpiry = false;
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

struct PermitsNotCheckedAgainstMap : StandardRules
{
  static constexpr bool kCheckPermitsAgainstMap = false;
};

struct ShardsInDoubtPermitted : StandardRules
{
  static constexpr bool kWithholdShardsInDoubt = false;
};

// The checker must find the harm within this many schedules.
inline constexpr std::uint64_t kSchedules = 6000;

template<OwnershipRules Rules>
RunReport findHarm(const std::string& name)
{
  const RunReport report = runSchedules<Rules>(1, kSchedules);
  MESSAGE(name << ": seed " << report.failingSeed.value_or(0) << ", " << report.violation);
  return report;
}

inline bool breaksSafety(const RunReport& report)
{
  return report.failingSeed && report.violation.find("not served") == std::string::npos;
}

} // namespace sycamore::ownership::model
