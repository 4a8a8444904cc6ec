#pragma once

#include "ScheduleRunner.h"

#include <doctest/doctest.h>

namespace sycamore::ownership::model {

// Rule sets that each disable or break one rule.
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

// Number of schedules within which the checker must find the violation.
inline constexpr std::uint64_t kSchedules = 6000;

template<OwnershipRules Rules>
RunReport findViolation(const std::string& name)
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
