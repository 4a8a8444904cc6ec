#pragma once

#include <atomic>
#include <cstdint>

namespace sycamore::platform_stub {

// Injected faults of calls, set by POST /faults.
struct PlatformFaults
{
  // Connections of calls are closed without an answer, and the calls have no effect.
  std::atomic<bool> down = false;

  // Delay of every call before it takes effect.
  std::atomic<std::int64_t> slowMs = 0;

  // Number of next successful writes that take effect but whose connection is closed without an
  // answer.
  std::atomic<std::int64_t> answersToLose = 0;

  // Additional delay before a watch reports changes.
  std::atomic<std::int64_t> watchDelayMs = 0;
};

} // namespace sycamore::platform_stub
