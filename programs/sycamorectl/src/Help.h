#pragma once

#include "Command.h"

#include <string>

namespace sycamore::ctl {

// Returns the list of all commands and common flags.
std::string overview();

// Returns the help text of one command.
std::string helpOf(const Command& command);

// Returns a completion script for bash. It is generated from the commands, so that it always
// matches them.
std::string bashCompletion();

} // namespace sycamore::ctl
