#include "CommandLine.h"

#include "CtlError.h"

#include <absl/flags/reflection.h>

#include <algorithm>

namespace sycamore::ctl {

namespace {

[[noreturn]] void throwUsageError(const std::string& message)
{
  throw CtlError(ExitStatus::Usage, message);
}

// Parses the arguments from left to right.
class Parser
{
public:
  explicit Parser(const std::vector<std::string>& arguments)
    : arguments_(arguments)
  {
  }

  CommandLine parse()
  {
    bool isAfterDoubleDash = false;
    while (next_ < arguments_.size()) {
      const std::string& argument = arguments_[next_++];
      if (isAfterDoubleDash || argument == "-" || !argument.starts_with("-")) {
        line_.words.push_back(argument);
      } else if (argument == "--") {
        isAfterDoubleDash = true;
      } else {
        readFlag(argument);
      }
    }
    return std::move(line_);
  }

private:
  void readFlag(const std::string& argument)
  {
    const std::size_t equals = argument.find('=');
    std::string name = argument.substr(0, equals);
    name.erase(0, name.starts_with("--") ? 2 : 1);
    std::replace(name.begin(), name.end(), '-', '_');
    name = name == "h" ? "help" : name;
    auto* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
      throwUsageError("there is no flag " + argument.substr(0, equals));
    }
    const std::string value = equals != std::string::npos ? argument.substr(equals + 1)
                              : flag->IsOfType<bool>()    ? "true"
                                                          : takeValue(argument);
    std::string error;
    if (!flag->ParseFrom(value, &error)) {
      throwUsageError("--" + name + ": \"" + value + "\" isn't a valid value: " + error);
    }
    line_.flags.push_back(name);
  }

  const std::string& takeValue(const std::string& flag)
  {
    if (next_ >= arguments_.size()) {
      throwUsageError(flag + " needs a value");
    }
    return arguments_[next_++];
  }

  const std::vector<std::string>& arguments_;
  std::size_t next_ = 0;
  CommandLine line_;
};

} // namespace

CommandLine parseCommandLine(const std::vector<std::string>& arguments)
{
  return Parser(arguments).parse();
}

} // namespace sycamore::ctl
