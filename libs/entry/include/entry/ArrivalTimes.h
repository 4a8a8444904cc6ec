#pragma once

#include <base/Time.h>

#include <cstdint>
#include <vector>

namespace sycamore::entry {

// Remembers when the bytes of a stream arrived, so that a request's time can be counted from its
// first byte although it is read later. Keeps a bounded number of times: bytes that arrive beyond
// that count as arrived with those before them.
class ArrivalTimes
{
public:
  // Records that `count` more bytes arrived at `now`.
  void onBytes(std::uint64_t count, base::TimePoint now);

  // Returns when the byte at this position arrived, or the time of the last bytes if it hasn't yet,
  // and forgets the times of those before it. Positions never decrease.
  base::TimePoint timeOf(std::uint64_t position);

private:
  struct Arrival
  {
    // Position after the last byte.
    std::uint64_t end = 0;
    base::TimePoint time;
  };

  std::vector<Arrival> arrivals_;
  std::uint64_t total_ = 0;
  base::TimePoint lastTime_{};
};

} // namespace sycamore::entry
