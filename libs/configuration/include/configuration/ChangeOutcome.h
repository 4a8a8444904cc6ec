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
  // Stored. Only this one acknowledges a change.
  Confirmed,
  // Another change came first; nothing of this one was stored.
  Conflict,
  // Could not be settled before the deadline. It may be stored, or still be under way.
  InDoubt,
  // Faulty, or refused by the platform before it was stored.
  Refused,
  // A dry run without faults.
  Planned
};

// The end of a change.
struct ChangeOutcome
{
  ChangeVerdict verdict = ChangeVerdict::Refused;
  // Confirmed: the version of this change. Conflict: the winner's version.
  base::Version version;
  std::string message;
  ConfigFaults faults;
  std::vector<Difference> differences;
  // Confirmed: what to adopt and to tell peers of. Conflict: the winner's object.
  std::optional<ConfigObject> object;
  // The token that the write carries.
  std::string writer;
};

} // namespace sycamore::configuration
