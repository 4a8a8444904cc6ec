#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <operators/OperatorRole.h>

#include <optional>
#include <string>
#include <vector>

namespace sycamore::daemon {

// Settings of sycamored, read from a JSON file. Addresses are "ip:port"; port 0 takes a free one.
struct DaemonSettings
{
  base::VmId vm;
  base::DomainId domain;
  std::string callerAddress;
  std::string peerAddress;
  std::string statusAddress;
  std::string operatorAddress;
  std::string platformAddress;
  std::vector<std::string> seedPeers;

  std::size_t maxRequests = 256;
  std::size_t maxConnections = 8192;
  std::size_t heldBodyBytes = 64 * 1024;
  // Longest wait for requests in flight and for duties to be handed over at shutdown.
  base::Duration drainTime{};

  std::vector<operators::OperatorToken> operatorTokens;
  bool allowOperatorsWithoutToken = false;

  std::string logLevel;
  // Opens the fault switch on the status port, which then must be a loopback address. Tests only.
  bool debugFaults = false;

  // Reads and checks a whole file. Throws settings::SettingsError with all faults.
  static DaemonSettings readFile(const std::string& path);
  static DaemonSettings parse(const std::string& text);
};

} // namespace sycamore::daemon
