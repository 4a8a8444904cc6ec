#pragma once

#include <optional>
#include <string_view>

namespace sycamore::requests {

// What is known about the execution of a request. NotRun is used only for requests that provably
// never reached a server or that the server itself refused.
enum class Outcome
{
  Ran,
  NotRun,
  Unknown
};

// Returns the value of the Sycamore-Outcome header: "ran", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// Parses the value of a Sycamore-Outcome header. Nothing for any other value.
std::optional<Outcome> parseOutcome(std::string_view name);

// Returns what is known about a request after several attempts: it ran if one attempt did, and is
// unknown as long as one of them may have run. A refused attempt does not change an earlier unknown
// outcome.
Outcome combineOutcomes(Outcome earlier, Outcome latest);

} // namespace sycamore::requests
