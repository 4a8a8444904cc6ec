#pragma once

#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>

#include <cstdint>
#include <map>
#include <vector>

namespace sycamore::dispatch {

// Number of adjacent keys that are counted together.
inline constexpr unsigned kKeysPerBucket = 16;
inline constexpr unsigned kKeyBuckets = (kLastKey + 1U) / kKeysPerBucket;

// Requests counted by bucket of keys.
using KeyCounts = std::map<std::uint16_t, std::uint32_t>;

// Recent requests per second by bucket of keys, summed over all reporting entry VMs.
class KeyRates
{
public:
  // Time constant of the exponential mean. Short, because the set of busy keys changes within
  // seconds.
  static constexpr double kMeanSeconds = 1.5;

  KeyRates();

  void add(const KeyCounts& counts, base::TimePoint now);

  // Returns the requests per second on the buckets that contain the keys `from` to `to`.
  double rate(KeyNumber from, KeyNumber to) const;

private:
  void decay(base::TimePoint now);

  std::vector<double> weights_;
  base::TimePoint decayedAt_{};
};

} // namespace sycamore::dispatch
