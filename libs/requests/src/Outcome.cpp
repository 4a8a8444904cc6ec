#include <requests/Outcome.h>

namespace sycamore::requests {

std::string_view outcomeName(Outcome outcome)
{
  switch (outcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

std::optional<Outcome> parseOutcome(std::string_view name)
{
  for (const Outcome outcome : { Outcome::Ran, Outcome::NotRun, Outcome::Unknown }) {
    if (name == outcomeName(outcome)) {
      return outcome;
    }
  }
  return std::nullopt;
}

Outcome combineOutcomes(Outcome earlier, Outcome latest)
{
  if (earlier == Outcome::Ran || latest == Outcome::Ran) {
    return Outcome::Ran;
  }
  return earlier == Outcome::NotRun ? latest : Outcome::Unknown;
}

} // namespace sycamore::requests
