#pragma once

#include <base/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::backend_stub {

// A work request, as described by its headers.
struct Work
{
  std::string requestId;
  std::string service;
  std::string method;
  std::optional<std::string> key;
  std::optional<std::uint32_t> shard;
  std::uint64_t term = 0;
  std::optional<base::TimePoint> deadline;
  // Length of the answer body if an echoed body is requested.
  std::optional<std::uint64_t> echoBytes;
  // Overrides the server's service time.
  std::optional<base::Duration> serviceTime;
};

} // namespace sycamore::backend_stub
