#pragma once

#include <array>
#include <string_view>

namespace sycamore::telemetry {

// Cause of an answer that counts against the error budget.
enum class BadAnswerCause
{
  // The connection was lost, the key had no owner, the entry VM did not hold the server lease, the
  // server did not own the key, the server was draining, the lease holder that knew about an
  // earlier send had failed, or the request timed out while keys moved.
  Failover,
  // The server was overloaded, the request expired in a queue, or the retry budget was exhausted.
  Shed,
  ColdStart,
  DomainOut,
  // The request ran but exceeded the latency objective, or timed out although no key moved.
  Slow,
  Other
};

constexpr std::size_t kBadAnswerCauseCount = 6;
constexpr std::array<BadAnswerCause, kBadAnswerCauseCount> kAllBadAnswerCauses{
  BadAnswerCause::Failover,  BadAnswerCause::Shed, BadAnswerCause::ColdStart,
  BadAnswerCause::DomainOut, BadAnswerCause::Slow, BadAnswerCause::Other
};

// Returns "failover", "shed", "cold-start", "domain-out", "slow" or "other".
std::string_view badAnswerCauseName(BadAnswerCause cause);

} // namespace sycamore::telemetry
