#include <telemetry/BadAnswerCause.h>

namespace sycamore::telemetry {

std::string_view badAnswerCauseName(BadAnswerCause cause)
{
  constexpr std::array<std::string_view, kBadAnswerCauseCount> kNames{ "failover",   "shed",
                                                                       "cold-start", "domain-out",
                                                                       "slow",       "other" };
  return kNames.at(static_cast<std::size_t>(cause));
}

} // namespace sycamore::telemetry
