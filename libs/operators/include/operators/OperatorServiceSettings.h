#pragma once

#include <base/Time.h>
#include <operators/OperatorRole.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sycamore::operators {

// PEM texts for TLS. Without a certificate the server speaks plaintext, and tokens can be read on
// the network.
struct OperatorTls
{
  std::string certificate;
  std::string privateKey;
  // If set, callers must present a certificate signed by this authority.
  std::string callerAuthority;
};

// Settings of an OperatorService.
struct OperatorServiceSettings
{
  // "ip:port"; port 0 takes a free one.
  std::string address = "127.0.0.1:0";
  std::vector<OperatorToken> tokens;
  // Lets calls without a token do everything. For tests and closed networks.
  bool allowAnonymousCalls = false;
  OperatorTls tls;
  // For calls that name no deadline, and the longest deadline that a call gets.
  base::milliseconds defaultDeadline{ 5000 };
  base::milliseconds maxDeadline{ 30000 };
  base::milliseconds maxWatch{ 600000 };
  // Each watch occupies a thread.
  std::size_t maxWatches = 8;
  std::size_t maxCalls = 32;
  std::size_t maxRequestBytes = 256 * 1024;
  std::size_t maxReplyBytes = 16 * 1024 * 1024;
};

} // namespace sycamore::operators
