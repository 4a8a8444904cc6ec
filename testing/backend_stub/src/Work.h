#pragma once

#include <base/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::backend_stub {

// What the headers of a work request say.
struct Work
{
  std::string requestId;
  std::string service;
  std::string method;
  std::optional<std::string> key;
  std::optional<std::uint32_t> shard;
  std::uint64_t term = 0;
  std::optional<base::TimePoint> deadline;
  // Length of the answer, for echoed bodies.
  std::optional<std::uint64_t> echoBytes;
  // Replaces the service time of the server.
  std::optional<base::Duration> serviceTime;
};

} // namespace sycamore::backend_stub
