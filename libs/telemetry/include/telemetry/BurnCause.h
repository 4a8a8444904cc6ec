#pragma once

#include <array>
#include <string_view>

namespace sycamore::telemetry {

// Why an answer was bad.
enum class BurnCause
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

constexpr std::size_t kBurnCauses = 6;
constexpr std::array<BurnCause, kBurnCauses> kAllBurnCauses{
  BurnCause::Failover,  BurnCause::Shed, BurnCause::ColdStart,
  BurnCause::DomainOut, BurnCause::Slow, BurnCause::Other
};

// "failover", "shed", "cold-start", "domain-out", "slow" or "other".
std::string_view burnCauseWord(BurnCause cause);

} // namespace sycamore::telemetry
