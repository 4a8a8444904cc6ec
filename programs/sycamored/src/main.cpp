#include "Daemon.h"
#include "Logging.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <base/Error.h>
#include <settings/SettingsError.h>

#include <csignal>
#include <cstdio>
#include <pthread.h>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit: 0 valid, 2 faulty");

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

std::string versionText()
{
  return "sycamored " SYCAMORE_VERSION "\n";
}

// Blocks SIGTERM and SIGINT in this thread and all that it starts, so that sigwait() gets them.
sigset_t blockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int runDaemon(const sycamore::daemon::DaemonSettings& settings)
{
  const sigset_t signals = blockSignals();
  sycamore::daemon::startLogging(settings.vm.value(), settings.logLevel);
  sycamore::daemon::Daemon daemon(settings);
  std::printf("%s\n", daemon.addresses().c_str());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  return daemon.shutDown() ? 0 : kExitFailure;
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Routes requests to backend servers that own keys exclusively.\n"
    "  sycamored --settings=FILE                   run until SIGTERM or SIGINT\n"
    "  sycamored --settings=FILE --check_settings  check the settings\n"
    "Exit status: 0 shut down in time, 1 failure, 2 faulty settings or flags.");
  absl::FlagsUsageConfig config;
  config.version_string = versionText;
  config.contains_help_flags = [](absl::string_view file) {
    return absl::EndsWith(file, "main.cpp");
  };
  absl::SetFlagsUsageConfig(config);
  // Abseil flag names have underscores, but operators expect dashes: accept both spellings.
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--check-settings") {
      static char underscored[] = "--check_settings";
      argv[i] = underscored;
    }
  }
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::fprintf(stderr, "sycamored: --settings=FILE is required; see --help\n");
    return kExitUsage;
  }
  try {
    const auto settings = sycamore::daemon::DaemonSettings::readFile(path);
    if (absl::GetFlag(FLAGS_check_settings)) {
      std::printf("%s: valid\n", path.c_str());
      return 0;
    }
    return runDaemon(settings);
  } catch (const sycamore::settings::SettingsError& error) {
    std::fprintf(stderr, "sycamored: faulty settings in %s:\n%s\n", path.c_str(), error.what());
    return kExitUsage;
  } catch (const sycamore::base::Error& error) {
    std::fprintf(stderr, "sycamored: %s\n", error.what());
    return kExitFailure;
  }
}
