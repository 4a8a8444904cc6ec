#include <control/LoadRecorder.h>

#include <algorithm>
#include <atomic>
#include <map>

namespace sycamore::control {

namespace {

// The counters of a service are dropped after this time without requests.
constexpr std::chrono::seconds kIdleTimeout{ 60 };
// Interval that take() assumes if there is no earlier call to measure it from.
constexpr std::chrono::seconds kInitialInterval{ 1 };

} // namespace

LoadRecorder::Stripe& LoadRecorder::ownStripe()
{
  static std::atomic<std::size_t> nextThread{ 0 };
  thread_local const std::size_t thread = nextThread.fetch_add(1, std::memory_order_relaxed);
  return stripes_[thread % kStripes];
}

void LoadRecorder::record(const base::ServiceId& service,
                          const base::Key& key,
                          base::ShardId shard,
                          base::TimePoint now)
{
  Stripe& stripe = ownStripe();
  const std::lock_guard lock(stripe.mutex);
  ServiceCounters& counters = stripe.services[service];
  ++counters.counts[shard];
  counters.keys.record(key.value(), now);
  counters.usedAt = now;
}

std::vector<ServiceLoad> LoadRecorder::take(base::TimePoint now)
{
  const base::Duration interval =
    takenAt_ == base::TimePoint() || now <= takenAt_ ? kInitialInterval : now - takenAt_;
  const double seconds = std::chrono::duration<double>(interval).count();
  takenAt_ = now;
  std::map<base::ServiceId, ServiceLoad> loads;
  for (Stripe& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    for (auto& [service, counters] : stripe.services) {
      takeCounters(loads[service], counters, seconds, now);
    }
    std::erase_if(stripe.services,
                  [&](const auto& entry) { return now - entry.second.usedAt > kIdleTimeout; });
  }
  std::vector<ServiceLoad> busy;
  for (auto& [service, load] : loads) {
    if (!load.rates.empty()) {
      load.service = service;
      busy.push_back(std::move(load));
    }
  }
  return busy;
}

void LoadRecorder::takeCounters(ServiceLoad& load,
                                ServiceCounters& counters,
                                double seconds,
                                base::TimePoint now)
{
  for (const auto& [shard, count] : counters.counts) {
    load.rates[shard] += static_cast<double>(count) / seconds;
  }
  counters.counts.clear();
  load.hotKeys =
    placement::merge(load.hotKeys, counters.keys.summary(now, kMaxHotKeys), kMaxHotKeys);
}

} // namespace sycamore::control
