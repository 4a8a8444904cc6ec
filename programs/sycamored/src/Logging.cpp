#include "Logging.h"

#include <easylogging++.h>

#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace sycamore::daemon {

namespace {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

std::atomic<LogLevel> currentLevel{ LogLevel::Info };

} // namespace

void startLogging(const std::string& vm, const std::string& level)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level vm=" + vm + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  setLogLevel(level);
}

bool setLogLevel(const std::string& level)
{
  if (level == "debug") {
    currentLevel = LogLevel::Debug;
  } else if (level == "info") {
    currentLevel = LogLevel::Info;
  } else if (level == "warning") {
    currentLevel = LogLevel::Warning;
  } else if (level == "error") {
    currentLevel = LogLevel::Error;
  } else {
    return false;
  }
  return true;
}

void logInfo(const std::string& line)
{
  if (currentLevel.load() <= LogLevel::Info) {
    LOG(INFO) << line;
  }
}

void logWarning(const std::string& line)
{
  if (currentLevel.load() <= LogLevel::Warning) {
    LOG(WARNING) << line;
  }
}

} // namespace sycamore::daemon
