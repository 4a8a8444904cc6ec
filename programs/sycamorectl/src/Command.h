#pragma once

#include "ExitStatus.h"
#include "Output.h"
#include "Session.h"

#include <string>
#include <vector>

namespace sycamore::ctl {

// Parameters of one run of a command.
struct Invocation
{
  Session& session;
  Output& output;
  // The words of the command line after the command's name.
  const std::vector<std::string>& arguments;
};

// One subcommand.
struct Command
{
  // One or more words, such as "service create".
  std::string name;
  // Names of the positional arguments. Optional ones are in brackets and come last.
  std::vector<std::string> arguments;
  // Flags that the command takes besides commonFlags(). All others are refused: a command that
  // ignored --dry-run would make the change.
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

// Returns all subcommands except "completion", in the order of the help text.
const std::vector<Command>& allCommands();

} // namespace sycamore::ctl
