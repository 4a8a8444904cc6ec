#pragma once

#include <base/Time.h>

#include <atomic>

namespace sycamore::test_http {

// Holds back all threads that pass it while a freeze lasts. Thread-safe.
class FreezeGate
{
public:
  // Starts a freeze or lengthens a running one.
  void freezeUntil(base::TimePoint end);

  // Returns at once, or when the freeze has ended.
  void pass() const;

private:
  std::atomic<base::TimePoint> end_{ base::TimePoint{} };
};

} // namespace sycamore::test_http
