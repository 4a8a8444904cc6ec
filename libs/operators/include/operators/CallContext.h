#pragma once

#include <base/Time.h>

#include <string>

namespace sycamore::operators {

// Caller and deadline of one call. The deadline is a time of base::SteadyClock and is always set.
struct CallContext
{
  base::TimePoint deadline;
  // Name of the caller's token, for logs; empty for a caller without one.
  std::string operatorName;
};

} // namespace sycamore::operators
