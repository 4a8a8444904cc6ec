#pragma once

#include <atomic>
#include <cstdint>

namespace sycamore::telemetry {

// A monotonically increasing counter. Thread-safe.
class Counter
{
public:
  void add(std::uint64_t increment = 1) { value_.fetch_add(increment, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

} // namespace sycamore::telemetry
