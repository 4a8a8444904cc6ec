#pragma once

#include <atomic>
#include <cstddef>

namespace sycamore::operators {

// Limits the number of calls that run at once. Thread-safe.
class CallLimiter
{
public:
  // One of the limited slots, held until destruction. False if no slot was free: the call must then
  // not run.
  class Slot
  {
  public:
    explicit Slot(CallLimiter& limiter)
      : limiter_(limiter)
      , isAcquired_(limiter.running_.fetch_add(1) < limiter.limit_)
    {
    }
    ~Slot() { limiter_.running_.fetch_sub(1); }

    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    explicit operator bool() const { return isAcquired_; }

  private:
    CallLimiter& limiter_;
    bool isAcquired_;
  };

  explicit CallLimiter(std::size_t limit)
    : limit_(limit)
  {
  }

private:
  std::atomic<std::size_t> running_ = 0;
  std::size_t limit_;
};

} // namespace sycamore::operators
