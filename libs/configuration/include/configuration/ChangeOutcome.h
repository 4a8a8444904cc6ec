#pragma once

#include <base/Ids.h>
#include <configuration/ConfigFault.h>
#include <configuration/ConfigObject.h>
#include <configuration/Difference.h>

#include <optional>
#include <string>
#include <vector>

namespace sycamore::configuration {

enum class ChangeVerdict
{
  // Stored. The only verdict that acknowledges a change.
  Confirmed,
  // Another change was stored first; nothing of this one was stored.
  Conflict,
  // Not resolved before the deadline. The change may be stored, or a write may still be in flight.
  InDoubt,
  // Invalid, or refused by the platform before it was stored.
  Refused,
  // Dry run that found no faults.
  Planned
};

// The final result of a change.
struct ChangeOutcome
{
  ChangeVerdict verdict = ChangeVerdict::Refused;
  // Confirmed: the version of this change. Conflict: the winner's version.
  base::Version version;
  std::string message;
  ConfigFaults faults;
  std::vector<Difference> differences;
  // Confirmed: the object to adopt and to notify peers of. Conflict: the winner's object.
  std::optional<ConfigObject> object;
  // The writer token of the change.
  std::string writer;
};

} // namespace sycamore::configuration
