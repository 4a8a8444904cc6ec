#pragma once

#include <base/Time.h>
#include <control/LoadReport.h>
#include <placement/HotKeyTracker.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace sycamore::control {

// Counts callers' requests per shard and finds their busiest keys. Traffic threads record requests;
// the control thread takes the counts once a second. Thread-safe. Memory is bounded by
// the number of services and shards, since record() is called only with shards of a map in use.
class LoadRecorder
{
public:
  // A report with more keys would exceed the limit of 3 KB/s of control traffic per VM.
  static constexpr std::size_t kMaxHotKeys = 64;

  void record(const base::ServiceId& service,
              const base::Key& key,
              base::ShardId shard,
              base::TimePoint now);

  // Returns the rates since the last call, without idle services. The caller sets the generations.
  std::vector<ServiceLoad> take(base::TimePoint now);

private:
  // Threads rarely contend for the lock of one stripe. More stripes cost memory, since each has
  // hot-key trackers of its own.
  static constexpr std::size_t kStripes = 8;

  struct ServiceCounters
  {
    std::unordered_map<base::ShardId, std::uint64_t> counts;
    placement::HotKeyTracker keys;
    base::TimePoint usedAt;
  };

  struct alignas(64) Stripe
  {
    std::mutex mutex;
    std::unordered_map<base::ServiceId, ServiceCounters> services;
  };

  Stripe& ownStripe();
  static void takeCounters(ServiceLoad& load,
                           ServiceCounters& counters,
                           double seconds,
                           base::TimePoint now);

  std::array<Stripe, kStripes> stripes_;
  base::TimePoint takenAt_{};
};

} // namespace sycamore::control
