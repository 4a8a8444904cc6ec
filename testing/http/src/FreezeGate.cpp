#include <test_http/FreezeGate.h>

#include <thread>

namespace sycamore::test_http {

void FreezeGate::freezeUntil(base::TimePoint end)
{
  base::TimePoint current = end_.load();
  while (current < end && !end_.compare_exchange_weak(current, end)) {
  }
}

void FreezeGate::waitWhileFrozen() const
{
  const base::SteadyClock clock{};
  for (auto now = clock.now(); now < end_.load(); now = clock.now()) {
    std::this_thread::sleep_for(end_.load() - now);
  }
}

} // namespace sycamore::test_http
