#pragma once

#include <base/Time.h>
#include <dispatch/KeyReport.h>
#include <dispatch/OwnershipRecord.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace sycamore::dispatch {

// Recent requests per second by key, summed over all reporting entry VMs. Buckets are counted, and
// the single keys of hot buckets, so that the memory is bounded.
class KeyRates
{
public:
  // Time constant of the exponential mean. Short, because the set of busy keys changes within
  // seconds.
  static constexpr double kMeanSeconds = 1.5;
  // Time constant of the mean that detects hot keys: shorter than a second, since keys may be hot
  // for a few seconds only.
  static constexpr double kFastMeanSeconds = 0.4;

  KeyRates();

  void add(const KeyReport& report, base::TimePoint now);
  // Lets the rates decay. To be called at short intervals, also while nothing is added.
  void advance(base::TimePoint now);

  // Returns the requests per second on the keys `from` to `to`.
  double rate(KeyNumber from, KeyNumber to) const;
  // Returns the same of the last fraction of a second. Less than the true rate while it rises.
  double fastRate(KeyNumber from, KeyNumber to) const;
  // Returns an estimate of the present rate. A rate that has just begun is extrapolated, since the
  // fast mean contains only a part of it.
  double currentRate(KeyNumber from, KeyNumber to) const;

private:
  struct Bucket
  {
    double slow = 0;
    double fast = 0;
  };

  double extrapolation(unsigned bucket) const;
  // Sums the rates of the buckets, given by `rateOf`, and of the keys' parts of them.
  template<typename RateOf>
  double sum(KeyNumber from, KeyNumber to, RateOf rateOf) const;
  double shareOfBucket(unsigned bucket, unsigned first, unsigned last) const;
  void addSingleKeys(const SingleKeyCounts& counts);

  std::vector<Bucket> buckets_;
  // Recent requests for the single keys of hot buckets.
  std::map<std::uint16_t, std::array<double, kKeysPerBucket>> keys_;
  base::TimePoint decayedAt_{};
};

} // namespace sycamore::dispatch
