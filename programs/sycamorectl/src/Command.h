#pragma once

#include "ExitStatus.h"
#include "Output.h"
#include "Session.h"

#include <string>
#include <vector>

namespace sycamore::ctl {

// What a command runs with.
struct Invocation
{
  Session& session;
  Output& output;
  // The words after the command's own.
  const std::vector<std::string>& arguments;
};

// One subcommand.
struct Command
{
  // Such as "service create".
  std::string name;
  // Names of its arguments; optional ones in brackets, at the end.
  std::vector<std::string> arguments;
  // Flags besides the common ones. Others are refused: a --dry-run that a command ignores would
  // change something.
  std::vector<std::string> flags;
  std::string summary;
  std::string details;
  ExitStatus (*run)(const Invocation&);
};

std::vector<Command> serviceCommands();
std::vector<Command> domainCommands();
std::vector<Command> placementCommands();
std::vector<Command> quarantineCommands();
std::vector<Command> statusCommands();

// All subcommands but "completion", in the order of the help.
const std::vector<Command>& allCommands();

} // namespace sycamore::ctl
