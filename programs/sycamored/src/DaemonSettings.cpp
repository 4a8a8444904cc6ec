#include "DaemonSettings.h"

#include <settings/SettingsReader.h>

namespace sycamore::daemon {

using settings::SettingsReader;

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxTokens = 64;
constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 256;

std::vector<operators::OperatorToken> readTokens(SettingsReader& section)
{
  std::vector<operators::OperatorToken> tokens;
  for (SettingsReader& entry : section.objects("tokens", 0, kMaxTokens)) {
    operators::OperatorToken token;
    token.name = entry.text("name", 1, kMaxNameLength);
    token.token = entry.text("token", kMinTokenBytes, kMaxTokenBytes);
    token.role = entry.oneOf("role", { "read-only", "change" }) == "change"
                   ? operators::OperatorRole::Change
                   : operators::OperatorRole::ReadOnly;
    tokens.push_back(token);
  }
  return tokens;
}

void readListen(SettingsReader& document, DaemonSettings& settings)
{
  SettingsReader listen = document.object("listen");
  settings.callerAddress = listen.address("callers", 0);
  settings.peerAddress = listen.address("peers", 0);
  settings.statusAddress = listen.address("status", 0);
  settings.operatorAddress = listen.address("operators", 0);
}

void readLimits(SettingsReader& document, DaemonSettings& settings)
{
  SettingsReader limits = document.object("limits");
  settings.maxRequests = limits.integer<std::uint32_t>("max_requests", 4, 4096, 256);
  settings.maxConnections = limits.integer<std::uint32_t>("max_connections", 16, 65536, 8192);
  settings.heldBodyBytes =
    limits.integer<std::uint32_t>("held_body_bytes", 0, 16U << 20, 64U * 1024);
  settings.drainTime = limits.millis(
    "drain_ms", base::milliseconds(0), base::milliseconds(600'000), base::milliseconds(10'000));
  if (settings.maxRequests > settings.maxConnections) {
    limits.fault("max_requests", "must not exceed max_connections");
  }
}

void readOperators(SettingsReader& document, DaemonSettings& settings)
{
  SettingsReader section = document.object("operators");
  settings.operatorTokens = readTokens(section);
  settings.allowOperatorsWithoutToken = section.boolean("allow_without_token", false);
  if (settings.operatorTokens.empty() && !settings.allowOperatorsWithoutToken) {
    section.fault("tokens", "must not be empty unless allow_without_token is true");
  }
  if (!settings.operatorTokens.empty() && settings.allowOperatorsWithoutToken) {
    section.fault("allow_without_token",
                  "must be false when tokens are configured, since true would make them useless");
  }
}

DaemonSettings readDocument(SettingsReader document)
{
  DaemonSettings settings;
  settings.vm = base::VmId(document.text("vm", 1, kMaxNameLength));
  settings.domain = base::DomainId(document.text("domain", 1, kMaxNameLength));
  settings.platformAddress = document.address("platform");
  settings.seedPeers = document.texts("seed_peers", 0, 64);
  readListen(document, settings);
  readLimits(document, settings);
  readOperators(document, settings);
  settings.logLevel = document.oneOf("log_level", { "debug", "info", "warning", "error" }, "info");
  settings.debugFaults = document.boolean("debug_faults", false);
  if (settings.debugFaults && !settings.statusAddress.starts_with("127.") &&
      !settings.statusAddress.starts_with("[::1]")) {
    document.fault("debug_faults", "needs a loopback address in /listen/status");
  }
  document.finish();
  return settings;
}

} // namespace

DaemonSettings DaemonSettings::readFile(const std::string& path)
{
  return readDocument(SettingsReader::readFile(path));
}

DaemonSettings DaemonSettings::parse(const std::string& text)
{
  return readDocument(SettingsReader::parse(text));
}

} // namespace sycamore::daemon
