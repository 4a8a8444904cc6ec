#pragma once

#include <base/Time.h>

#include <string>

namespace sycamore::operators {

// Who calls and until when. The deadline is by base::SteadyClock and always set.
struct CallContext
{
  base::TimePoint deadline;
  // Name of the caller's token, for logs; empty for a caller without one.
  std::string operatorName;
};

} // namespace sycamore::operators
