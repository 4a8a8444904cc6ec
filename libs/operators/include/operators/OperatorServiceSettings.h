#pragma once

#include <base/Time.h>
#include <operators/OperatorRole.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sycamore::operators {

// PEM texts for TLS. Without a certificate the server accepts plaintext connections, and tokens can
// be read on the network.
struct OperatorTls
{
  std::string certificate;
  std::string privateKey;
  // If set, clients must present a certificate signed by this certificate authority.
  std::string clientCaCertificate;
};

// Settings of an OperatorService.
struct OperatorServiceSettings
{
  // "ip:port"; port 0 chooses a free port.
  std::string address = "127.0.0.1:0";
  std::vector<OperatorToken> tokens;
  // Gives calls without a token the role Change. For tests and closed networks.
  bool allowAnonymousCalls = false;
  OperatorTls tls;
  // Time limit of calls that set no deadline.
  base::milliseconds defaultDeadline{ 5000 };
  // Upper bound of the time limit of calls other than watches.
  base::milliseconds maxDeadline{ 30000 };
  base::milliseconds maxWatchDuration{ 600000 };
  // Concurrent watches; each occupies a thread.
  std::size_t maxWatches = 8;
  // Concurrent calls other than watches.
  std::size_t maxCalls = 32;
  std::size_t maxRequestBytes = 256 * 1024;
  std::size_t maxReplyBytes = 16 * 1024 * 1024;
};

} // namespace sycamore::operators
