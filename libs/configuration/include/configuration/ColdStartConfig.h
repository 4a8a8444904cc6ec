#pragma once

#include <base/Time.h>

#include <cstdint>

namespace sycamore::configuration {

// Requests in flight that a cold backend server gets, and the time until it gets its full slots.
struct ColdStartConfig
{
  std::uint32_t limit = 1;
  base::milliseconds ramp{ 10000 };

  friend bool operator==(const ColdStartConfig&, const ColdStartConfig&) = default;
};

} // namespace sycamore::configuration
