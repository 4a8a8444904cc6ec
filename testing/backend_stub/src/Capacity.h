#pragma once

#include <base/Time.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace sycamore::backend_stub {

// The server's slots and its cold period, during which it can execute fewer requests. A request
// above the cold limit overloads the server: it is refused and the cold period starts again.
// Thread-safe; must outlive its slots.
class Capacity
{
public:
  struct Limits
  {
    unsigned slots = 2;
    unsigned coldLimit = 1;
    base::Duration coldPeriod{};
  };

  // Held while a request runs; the destruction of the last copy frees the slot.
  using Slot = std::shared_ptr<void>;

  Capacity(const Limits& limits, base::TimePoint now);

  // Returns a slot, or null and sets the reason ("cold", "overloaded").
  Slot acquire(base::TimePoint now, std::string& reason);

  void makeCold(base::TimePoint now);
  bool isCold(base::TimePoint now) const;
  unsigned inFlight() const;
  unsigned slots() const { return limits_.slots; }

  // Returns the counters for /stats.
  nlohmann::json counts() const;

private:
  void freeSlot();

  const Limits limits_;
  mutable std::mutex mutex_;
  base::TimePoint coldUntil_;
  unsigned inFlight_ = 0;
  unsigned maxInFlight_ = 0;
  std::uint64_t slotsExceeded_ = 0;
  std::uint64_t coldOverloads_ = 0;
};

} // namespace sycamore::backend_stub
