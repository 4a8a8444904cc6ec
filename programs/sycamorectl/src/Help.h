#pragma once

#include "Command.h"

#include <string>

namespace sycamore::ctl {

// The list of all commands.
std::string overview();

// Help of one command.
std::string helpOf(const Command& command);

// A completion script for bash, made from the commands so that it can't fall behind them.
std::string bashCompletion();

} // namespace sycamore::ctl
