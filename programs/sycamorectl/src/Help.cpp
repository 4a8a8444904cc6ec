#include "Help.h"

#include "Flags.h"

#include <map>
#include <set>
#include <sstream>

namespace sycamore::ctl {

namespace {

std::string usageOf(const Command& command)
{
  std::string usage = command.name;
  for (const std::string& argument : command.arguments) {
    usage += " " + argument;
  }
  return usage;
}

std::string flagLine(const std::string& name)
{
  std::string text = "  --" + name;
  text += std::string(text.size() < 18 ? 18 - text.size() : 1, ' ');
  return text + describeFlag(name) + "\n";
}

std::string joined(const std::set<std::string>& words)
{
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

} // namespace

std::string overview()
{
  std::string text = "usage: sycamorectl COMMAND [ARGUMENTS] [--flags]\n\ncommands:\n";
  for (const Command& command : allCommands()) {
    const std::string usage = usageOf(command);
    const std::size_t gap = usage.size() < 30 ? 30 - usage.size() : 1;
    text += "  " + usage + std::string(gap, ' ') + command.summary + "\n";
  }
  text += "  completion                    print a completion script for bash\n\nflags:\n";
  for (const std::string& flag : commonFlags()) {
    text += flagLine(flag);
  }
  return text + "\n\"sycamorectl COMMAND --help\" shows more about a command.\n"
                "exit status: 0 ok, 1 failed, 2 usage, 3 conflict, 4 unreachable\n";
}

std::string helpOf(const Command& command)
{
  std::string text = "usage: sycamorectl " + usageOf(command) + " [--flags]\n\n" + command.summary;
  text += command.details.empty() ? "\n" : "\n" + command.details + "\n";
  text += "\nflags:\n";
  for (const std::string& flag : command.flags) {
    text += flagLine(flag);
  }
  for (const std::string& flag : commonFlags()) {
    text += flagLine(flag);
  }
  return text;
}

std::string bashCompletion()
{
  std::set<std::string> topLevelWords{ "completion" };
  std::map<std::string, std::set<std::string>> subcommands;
  std::set<std::string> flags;
  for (const Command& command : allCommands()) {
    std::istringstream words(command.name);
    std::string word;
    std::string subword;
    words >> word >> subword;
    topLevelWords.insert(word);
    if (!subword.empty()) {
      subcommands[word].insert(subword);
    }
    for (const auto& list : { command.flags, commonFlags() }) {
      for (const std::string& flag : list) {
        flags.insert("--" + flag);
      }
    }
  }
  std::string text = "_sycamorectl()\n{\n  local word=\"${COMP_WORDS[COMP_CWORD]}\" choices=\"\"\n"
                     "  if [[ $word == -* ]]; then choices=\"" +
                     joined(flags) +
                     "\"\n"
                     "  elif ((COMP_CWORD == 1)); then choices=\"" +
                     joined(topLevelWords) +
                     "\"\n"
                     "  elif ((COMP_CWORD == 2)); then\n    case \"${COMP_WORDS[1]}\" in\n";
  for (const auto& [word, subwords] : subcommands) {
    text += "      " + word + ") choices=\"" + joined(subwords) + "\" ;;\n";
  }
  return text +
         "    esac\n  fi\n  mapfile -t COMPREPLY < <(compgen -W \"$choices\" -- \"$word\")\n}\n"
         "complete -o default -F _sycamorectl sycamorectl\n";
}

} // namespace sycamore::ctl
