#pragma once

#include <atomic>

namespace sycamore::telemetry {

// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
  void set(double value) { value_.store(value, std::memory_order_relaxed); }
  void add(double delta) { value_.fetch_add(delta, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{ 0 };
};

} // namespace sycamore::telemetry
