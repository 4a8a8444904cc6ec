#pragma once

#include <optional>
#include <string_view>

namespace sycamore::requests {

// What is known of the execution of a request. NotRun is used only for work that provably never
// reached a server or that the server itself refused.
enum class Outcome
{
  Ran,
  NotRun,
  Unknown
};

// The word of the Sycamore-Outcome header: "ran", "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

// The outcome named by a Sycamore-Outcome header, or nothing for any other word.
std::optional<Outcome> parseOutcome(std::string_view word);

// What is known of a request after several attempts: it ran if one did, and is unknown as long as
// one of them may have run. A refusal of the last attempt doesn't undo an earlier unknown one.
Outcome combineOutcomes(Outcome earlier, Outcome latest);

} // namespace sycamore::requests
