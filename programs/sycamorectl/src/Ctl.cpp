#include "Ctl.h"

#include "Command.h"
#include "CommandLine.h"
#include "CtlError.h"
#include "Flags.h"
#include "Help.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <sstream>

namespace sycamore::ctl {

namespace {

// Returns the number of leading words that make up the command's name, or 0 if the words don't
// start with the name.
std::size_t countNameWords(const Command& command, const std::vector<std::string>& words)
{
  std::istringstream name(command.name);
  std::size_t count = 0;
  for (std::string word; name >> word; ++count) {
    if (count >= words.size() || words[count] != word) {
      return 0;
    }
  }
  return count;
}

// Finds the command that the words start with and removes its name from them. Returns nullptr if
// there is no such command.
const Command* findCommand(std::vector<std::string>& words)
{
  for (const Command& command : allCommands()) {
    const std::size_t count = countNameWords(command, words);
    if (count > 0) {
      words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
      return &command;
    }
  }
  return nullptr;
}

bool contains(const std::vector<std::string>& list, const std::string& text)
{
  return std::find(list.begin(), list.end(), text) != list.end();
}

void checkFlags(const Command& command, const std::vector<std::string>& given)
{
  for (const std::string& flag : given) {
    if (!contains(command.flags, flag) && !contains(commonFlags(), flag)) {
      throw CtlError(ExitStatus::Usage, "\"" + command.name + "\" takes no flag --" + flag);
    }
  }
}

void checkArguments(const Command& command, const std::vector<std::string>& given)
{
  const auto isRequired = [](const std::string& name) { return !name.starts_with("["); };
  const auto required = static_cast<std::size_t>(
    std::count_if(command.arguments.begin(), command.arguments.end(), isRequired));
  if (given.size() < required) {
    throw CtlError(ExitStatus::Usage,
                   "\"" + command.name + "\" needs the argument " +
                     command.arguments[given.size()]);
  }
  if (given.size() > command.arguments.size()) {
    throw CtlError(ExitStatus::Usage,
                   "\"" + command.name + "\" takes no argument \"" +
                     given[command.arguments.size()] + "\"");
  }
}

ExitStatus runCommand(const Command& command, const CommandLine& line, std::ostream& out)
{
  checkFlags(command, line.flags);
  checkArguments(command, line.words);
  Output output(out);
  Session session;
  return command.run({ session, output, line.words });
}

ExitStatus runLine(const std::vector<std::string>& arguments, std::ostream& out)
{
  CommandLine line = parseCommandLine(arguments);
  if (line.words == std::vector<std::string>{ "completion" }) {
    out << bashCompletion();
    return ExitStatus::Ok;
  }
  const Command* command = findCommand(line.words);
  if (absl::GetFlag(FLAGS_help)) {
    out << (command == nullptr ? overview() : helpOf(*command));
    return ExitStatus::Ok;
  }
  if (command == nullptr) {
    throw CtlError(ExitStatus::Usage,
                   line.words.empty() ? "no command given"
                                      : "there is no command \"" + line.words[0] + "\"");
  }
  return runCommand(*command, line, out);
}

} // namespace

ExitStatus runCtl(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
  try {
    return runLine(arguments, out);
  } catch (const CtlError& error) {
    err << "sycamorectl: " << error.what() << '\n';
    if (error.status() == ExitStatus::Usage) {
      err << "\"sycamorectl --help\" shows all commands.\n";
    }
    return error.status();
  } catch (const std::exception& error) {
    err << "sycamorectl: " << error.what() << '\n';
    return ExitStatus::Failed;
  }
}

} // namespace sycamore::ctl
