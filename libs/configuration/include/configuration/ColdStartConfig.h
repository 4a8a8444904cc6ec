#pragma once

#include <base/Time.h>

#include <cstdint>

namespace sycamore::configuration {

// Limit of concurrent requests to a cold backend server, and the time until it may use all slots.
struct ColdStartConfig
{
  std::uint32_t limit = 1;
  base::milliseconds ramp{ 10000 };

  friend bool operator==(const ColdStartConfig&, const ColdStartConfig&) = default;
};

} // namespace sycamore::configuration
