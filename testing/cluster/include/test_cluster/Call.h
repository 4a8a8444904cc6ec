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
  // Length of a body that is filled with the echo pattern and replaces `body`.
  std::optional<std::size_t> patternBytes;
  // Whether the body is sent without a length.
  bool chunked = false;
  // Requested length of an answer that is filled with the echo pattern.
  std::optional<std::size_t> echoBytes;
  // Duration of the execution; the server's default if absent.
  std::optional<base::milliseconds> work;
  base::Duration deadline = std::chrono::seconds(2);
};

} // namespace sycamore::test_cluster
