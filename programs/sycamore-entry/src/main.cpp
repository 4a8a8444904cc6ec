#include "EntryProcess.h"

#include <base/Error.h>
#include <entry/EventLog.h>
#include <wire/SettingsDecoder.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string,
          settings,
          "",
          "path of the settings file; by default the platform's environment variable names it");

ABSL_FLAG(std::uint16_t,
          metrics_port,
          0,
          "port that serves /metrics in addition to the readiness address; 0 for none");

namespace {

std::string settingsPath()
{
  const std::string given = absl::GetFlag(FLAGS_settings);
  if (!given.empty()) {
    return given;
  }
  const char* path = std::getenv(sycamore::wire::kSettingsVariable);
  return path == nullptr ? "" : path;
}

std::string readFile(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    throw sycamore::base::Error("settings file '" + path + "' can't be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Lets --help list the flags of this program, without the folder of the build.
void setUpHelp()
{
  absl::FlagsUsageConfig config;
  const auto isOwnFlag = [](absl::string_view file) { return absl::EndsWith(file, "main.cpp"); };
  config.contains_help_flags = isOwnFlag;
  config.contains_helpshort_flags = isOwnFlag;
  config.contains_helppackage_flags = isOwnFlag;
  config.normalize_filename = [](absl::string_view file) {
    return std::string(file.substr(file.rfind('/') + 1));
  };
  absl::SetFlagsUsageConfig(std::move(config));
}

} // namespace

int main(int argc, char** argv)
{
  setUpHelp();
  absl::SetProgramUsageMessage("routes callers' requests to backend servers on the platform");
  absl::ParseCommandLine(argc, argv);
  try {
    const std::string path = settingsPath();
    const auto source = [path] {
      auto settings = sycamore::wire::decodeSettings(readFile(path));
      settings.metricsPort = absl::GetFlag(FLAGS_metrics_port);
      return settings;
    };
    return sycamore::entry::EntryProcess(source(), source).run();
  } catch (const std::exception& error) {
    std::cerr << "sycamore-entry: " << error.what() << '\n';
    return 1;
  }
}
