#pragma once

#include <base/Time.h>

#include <atomic>

namespace sycamore::test_http {

// Blocks all threads that call waitWhileFrozen() during a freeze. Thread-safe.
class FreezeGate
{
public:
  // Starts a freeze or extends the current one; never shortens it.
  void freezeUntil(base::TimePoint end);

  // Returns at once if there is no freeze, otherwise when it has ended.
  void waitWhileFrozen() const;

private:
  std::atomic<base::TimePoint> end_{ base::TimePoint{} };
};

} // namespace sycamore::test_http
