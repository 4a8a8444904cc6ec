#pragma once

#include <base/Time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace sycamore::test_cluster {

// A request of a caller to a service.
struct Call
{
  std::string service;
  std::string method;
  std::optional<std::string> key;
  std::string requestId;
  unsigned attempt = 1;
  std::string body;
  // Replaces the body by one of the echo pattern with this length.
  std::optional<std::size_t> patternBytes;
  // Sends the body without a length.
  bool chunked = false;
  // Asks for an answer of the echo pattern with this length.
  std::optional<std::size_t> echoBytes;
  // Duration of the execution; that of the server if absent.
  std::optional<base::milliseconds> work;
  base::Duration deadline = std::chrono::seconds(2);
};

} // namespace sycamore::test_cluster
