#pragma once

#include <string>
#include <vector>

namespace sycamore::ctl {

// A command line, taken apart. Flags are set as Abseil flags; dashes in their names count as
// underscores. Abseil's own parser isn't used because it ends the process with a status that
// scripts can't tell from a failed call.
struct CommandLine
{
  // Words and arguments in order, without flags. All after "--" are words.
  std::vector<std::string> words;
  // Names of the flags that were given.
  std::vector<std::string> flags;
};

// Throws CtlError (Usage) for unknown flags and for values that don't fit.
CommandLine parseCommandLine(const std::vector<std::string>& arguments);

} // namespace sycamore::ctl
