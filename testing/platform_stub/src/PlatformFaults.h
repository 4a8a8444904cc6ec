#pragma once

#include <atomic>
#include <cstdint>

namespace sycamore::platform_stub {

// Faults that calls meet, switched over POST /faults.
struct PlatformFaults
{
  // Calls are closed without an answer and without effect.
  std::atomic<bool> down = false;

  // Every call waits this long before it takes effect.
  std::atomic<std::int64_t> slowMs = 0;

  // So many of the next successful writes take effect, but are closed without an answer.
  std::atomic<std::int64_t> loseAnswers = 0;

  // Watches report changes this much later.
  std::atomic<std::int64_t> watchDelayMs = 0;
};

} // namespace sycamore::platform_stub
