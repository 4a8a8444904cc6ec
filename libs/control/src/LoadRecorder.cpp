#include <control/LoadRecorder.h>

#include <algorithm>
#include <atomic>
#include <map>

namespace sycamore::control {

namespace {

// Counters of a service without requests are dropped after this time.
constexpr std::chrono::seconds kIdleTime{ 60 };
// Covers counts before the first call of take().
constexpr std::chrono::seconds kFirstInterval{ 1 };

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
  Part& part = stripe.parts[service];
  ++part.counts[shard];
  part.keys.record(key.value(), now);
  part.usedAt = now;
}

std::vector<ServiceLoad> LoadRecorder::take(base::TimePoint now)
{
  const base::Duration interval =
    takenAt_ == base::TimePoint() || now <= takenAt_ ? kFirstInterval : now - takenAt_;
  const double seconds = std::chrono::duration<double>(interval).count();
  takenAt_ = now;
  std::map<base::ServiceId, ServiceLoad> loads;
  for (Stripe& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    for (auto& [service, part] : stripe.parts) {
      takePart(loads[service], part, seconds, now);
    }
    std::erase_if(stripe.parts,
                  [&](const auto& entry) { return now - entry.second.usedAt > kIdleTime; });
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

void LoadRecorder::takePart(ServiceLoad& load, Part& part, double seconds, base::TimePoint now)
{
  for (const auto& [shard, count] : part.counts) {
    load.rates[shard] += static_cast<double>(count) / seconds;
  }
  part.counts.clear();
  load.hotKeys = placement::merge(load.hotKeys, part.keys.summary(now, kMaxHotKeys), kMaxHotKeys);
}

} // namespace sycamore::control
