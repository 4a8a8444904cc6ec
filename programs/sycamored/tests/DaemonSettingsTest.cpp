#include "DaemonSettings.h"

#include <doctest/doctest.h>
#include <settings/SettingsError.h>

#include <algorithm>

using sycamore::daemon::DaemonSettings;
using sycamore::settings::SettingsError;

namespace {

const char* const kValid = R"({
  "vm": "vm-a1", "domain": "a", "platform": "127.0.0.1:9000", "seed_peers": [],
  "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "127.0.0.1:0",
             "operators": "127.0.0.1:0"},
  "limits": {}, "operators": {"allow_without_token": true}
})";

std::vector<std::string> faultsOf(const std::string& text)
{
  try {
    DaemonSettings::parse(text);
  } catch (const SettingsError& error) {
    return error.faults();
  }
  return {};
}

bool mentions(const std::vector<std::string>& faults, const std::string& path)
{
  return std::any_of(
    faults.begin(), faults.end(), [&](const auto& fault) { return fault.starts_with(path); });
}

} // namespace

// Guards against a settings file that is valid but refused.
TEST_CASE("complete settings are read")
{
  const auto settings = DaemonSettings::parse(kValid);
  CHECK(settings.vm.value() == "vm-a1");
  CHECK(settings.maxRequests == 256);
}

// Guards against a daemon that starts with incomplete settings, or reports only one fault per
// start.
TEST_CASE("all faults are reported at once with their JSON paths")
{
  const auto faults = faultsOf(R"({
    "vm": "", "domain": 3, "platform": "nowhere", "surprise": true,
    "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "10.0.0.1:80",
               "operators": "127.0.0.1:0"},
    "limits": {"max_requests": 4000, "max_connections": 100}, "debug_faults": true,
    "operators": {"allow_without_token": true, "tokens": [
      {"name": "a", "token": "0123456789abcdef", "role": "change"}]}
  })");
  for (const char* path : { "/vm",
                            "/domain",
                            "/platform",
                            "/surprise",
                            "/limits/max_requests",
                            "/debug_faults",
                            "/operators/allow_without_token" }) {
    CHECK_MESSAGE(mentions(faults, path), path);
  }
}
