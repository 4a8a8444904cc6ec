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

// Counts callers' requests per shard and finds their busiest keys. Traffic threads record, the
// control thread takes the counts once a second. Safe from all threads. Memory is bounded by the
// number of services and shards: callers of record() name only shards of a map in use.
class LoadRecorder
{
public:
  // A report with more would exceed the control traffic of 3 KB/s per VM.
  static constexpr std::size_t kMaxHotKeys = 64;

  void record(const base::ServiceId& service,
              const base::Key& key,
              base::ShardId shard,
              base::TimePoint now);

  // The rates since the last call, without idle services. The generations are left to the caller.
  std::vector<ServiceLoad> take(base::TimePoint now);

private:
  // Threads rarely meet on the lock of one stripe; more stripes cost memory for their trackers.
  static constexpr std::size_t kStripes = 8;

  struct Part
  {
    std::unordered_map<base::ShardId, std::uint64_t> counts;
    placement::HotKeyTracker keys;
    base::TimePoint usedAt;
  };

  struct alignas(64) Stripe
  {
    std::mutex mutex;
    std::unordered_map<base::ServiceId, Part> parts;
  };

  Stripe& ownStripe();
  static void takePart(ServiceLoad& load, Part& part, double seconds, base::TimePoint now);

  std::array<Stripe, kStripes> stripes_;
  base::TimePoint takenAt_{};
};

} // namespace sycamore::control
