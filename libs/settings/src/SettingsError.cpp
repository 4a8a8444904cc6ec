#include <settings/SettingsError.h>

namespace sycamore::settings {

namespace {

std::string joinLines(const std::vector<std::string>& lines)
{
  std::string joined;
  for (const std::string& line : lines) {
    joined += joined.empty() ? line : "\n" + line;
  }
  return joined;
}

} // namespace

SettingsError::SettingsError(std::vector<std::string> faults)
  : base::Error(joinLines(faults))
  , faults_(std::move(faults))
{
}

} // namespace sycamore::settings
