#pragma once

#include <base/Error.h>

#include <string>
#include <vector>

namespace sycamore::settings {

// All faults of a settings document, one message per fault ("/peers/0/port: must be ..."). what()
// returns one message per line. Programs print it and exit with status 2.
class SettingsError : public base::Error
{
public:
  explicit SettingsError(std::vector<std::string> faults);

  const std::vector<std::string>& faults() const { return faults_; }

private:
  std::vector<std::string> faults_;
};

} // namespace sycamore::settings
