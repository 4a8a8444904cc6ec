#pragma once

#include <base/Time.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace sycamore::backend_stub {

// The slots of the server and its cold period, in which it bears fewer requests. A request above
// the cold limit makes the server fail: it is refused and the cold period starts again.
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

  // Held while a request runs; the last copy gives the slot back.
  using Slot = std::shared_ptr<void>;

  Capacity(const Limits& limits, base::TimePoint now);

  // A slot, or null with the reason ("cold", "overloaded").
  Slot enter(base::TimePoint now, std::string& reason);

  void makeCold(base::TimePoint now);
  bool isCold(base::TimePoint now) const;
  unsigned inFlight() const;
  unsigned slots() const { return limits_.slots; }

  // Counts for /stats.
  nlohmann::json counts() const;

private:
  void leave();

  const Limits limits_;
  mutable std::mutex mutex_;
  base::TimePoint coldUntil_;
  unsigned inFlight_ = 0;
  unsigned maxInFlight_ = 0;
  std::uint64_t slotsExceeded_ = 0;
  std::uint64_t coldOverloads_ = 0;
};

} // namespace sycamore::backend_stub
