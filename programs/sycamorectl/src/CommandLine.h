#pragma once

#include <string>
#include <vector>

namespace sycamore::ctl {

// A parsed command line. The values of flags are stored in the Abseil flags; a dash in a flag's
// name stands for an underscore. Abseil's own parser isn't used because, on an error, it ends the
// process with a status that scripts can't tell from that of a failed call.
struct CommandLine
{
  // Words of the command and its arguments in order, without flags. Everything after "--" is a
  // word.
  std::vector<std::string> words;
  // Names of the flags that were set.
  std::vector<std::string> flags;
};

// Parses the arguments and sets the Abseil flags. Throws CtlError (Usage) for unknown flags and for
// invalid or missing values.
CommandLine parseCommandLine(const std::vector<std::string>& arguments);

} // namespace sycamore::ctl
