#pragma once

#include <array>
#include <string_view>

namespace sycamore::telemetry {

// Why an answer was bad.
enum class BadAnswerCause
{
  // Connection lost, no owner, not the holder or owner, draining; timeouts while keys move.
  Failover,
  // Overloaded, expired in a queue, retry budget used up.
  Shed,
  ColdStart,
  DomainOut,
  // Ran later than the objective, or timed out although no key moved.
  Slow,
  Other
};

constexpr std::size_t kBadAnswerCauseCount = 6;
constexpr std::array<BadAnswerCause, kBadAnswerCauseCount> kAllBadAnswerCauses{
  BadAnswerCause::Failover,  BadAnswerCause::Shed, BadAnswerCause::ColdStart,
  BadAnswerCause::DomainOut, BadAnswerCause::Slow, BadAnswerCause::Other
};

// "failover", "shed", "cold-start", "domain-out", "slow" or "other".
std::string_view badAnswerCauseName(BadAnswerCause cause);

} // namespace sycamore::telemetry
