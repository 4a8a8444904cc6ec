#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <operators/OperatorRole.h>

#include <optional>
#include <string>
#include <vector>

namespace sycamore::daemon {

// Settings of sycamored, read from a JSON file. Addresses are "ip:port"; port 0 selects a
// free port.
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
  // Maximum time that a shutdown waits for requests in flight and for the handover of server
  // leases.
  base::Duration drainTime{};

  std::vector<operators::OperatorToken> operatorTokens;
  bool allowOperatorsWithoutToken = false;

  std::string logLevel;
  // Enables /debug/faults on the status port, which must then have a loopback address. For tests
  // only.
  bool debugFaults = false;

  // Reads and validates a settings file. Throws settings::SettingsError with all faults.
  static DaemonSettings readFile(const std::string& path);
  static DaemonSettings parse(const std::string& text);
};

} // namespace sycamore::daemon
