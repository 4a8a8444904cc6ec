#include <telemetry/BurnCause.h>

namespace sycamore::telemetry {

std::string_view burnCauseWord(BurnCause cause)
{
  constexpr std::array<std::string_view, kBurnCauses> kWords{ "failover",   "shed", "cold-start",
                                                              "domain-out", "slow", "other" };
  return kWords.at(static_cast<std::size_t>(cause));
}

} // namespace sycamore::telemetry
