#pragma once

#include <atomic>
#include <cstddef>

namespace sycamore::operators {

// Bounds how many calls run at once. Safe from all threads.
class CallGate
{
public:
  // Holds a place until it is destroyed; test it before going on.
  class Place
  {
  public:
    explicit Place(CallGate& gate)
      : gate_(gate)
      , taken_(gate.running_.fetch_add(1) < gate.limit_)
    {
    }
    ~Place() { gate_.running_.fetch_sub(1); }

    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    explicit operator bool() const { return taken_; }

  private:
    CallGate& gate_;
    bool taken_;
  };

  explicit CallGate(std::size_t limit)
    : limit_(limit)
  {
  }

private:
  std::atomic<std::size_t> running_ = 0;
  std::size_t limit_;
};

} // namespace sycamore::operators
