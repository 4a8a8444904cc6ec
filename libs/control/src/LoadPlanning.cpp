#include "LoadPlanning.h"

#include <algorithm>
#include <cmath>

namespace sycamore::control {

namespace {

constexpr std::chrono::seconds kRefreshInterval{ 1 };
// Time to wait for the reports of all VMs when planning starts or resumes after a gap. A sum that
// lacks some reports would make shards look idle.
constexpr std::chrono::seconds kSettleTime{ 2 };
constexpr std::chrono::seconds kPlanningGap{ 5 };
// A sum covers about one second, however long ago the previous one was taken.
constexpr std::chrono::milliseconds kMaxInterval{ 1500 };
// Below this many requests per second the differences between shards are noise.
constexpr double kMinTraffic = 20.0;
// About eight requests within the trackers' time constant. Without this threshold, two requests for
// the same key that coincide while traffic starts would get their key split out.
constexpr double kMinHotRate = 4.0;

// Requests counted per shard at which a shard's deviation from the mean gets a weight of one half.
// With full weight, the random deviations of the first seconds would move shards back and forth.
constexpr double kHalfWeightRequests = 30.0;

// Time with traffic after which loads are used for placement. Skew between shards shows within a
// few seconds; balancing earlier would move shards again as the estimate becomes more exact.
constexpr std::chrono::seconds kMinObservedTime{ 10 };

bool hasOverride(const placement::ShardMap& map, const placement::KeyOverride& hot)
{
  const placement::KeyOverride* known = map.overrideOf(hot.key);
  return known != nullptr && known->shard == hot.shard;
}

} // namespace

void LoadPlanning::recordReport(const base::VmId& from, ServiceLoad load, base::TimePoint now)
{
  reports_.record(from, std::move(load), now);
}

void LoadPlanning::refresh(const placement::ShardMap& map,
                           std::size_t serverCount,
                           base::TimePoint now)
{
  const bool first = refreshedAt_ == base::TimePoint();
  if (!first && now - refreshedAt_ < kRefreshInterval) {
    return;
  }
  if (first || now - refreshedAt_ > kPlanningGap) {
    startedAt_ = now;
  }
  refreshedAt_ = now;
  if (now - startedAt_ < kSettleTime) {
    decision_ = {};
    return;
  }
  const LoadReportTable::Sum sum = reports_.sum(map, now);
  const bool busy = sum.total >= kMinTraffic;
  // A service without traffic keeps its loads: shards rebalanced at night would move back by day.
  if (busy) {
    observe(map, sum, now);
  }
  summary_ = sum.hotKeys;
  decision_ = policy_.decide(map, summary_, serverCount, now);
  std::erase_if(decision_.hot,
                [&](const base::Key& key) { return !busy || rateOf(key) < kMinHotRate; });
}

void LoadPlanning::observe(const placement::ShardMap& map,
                           const LoadReportTable::Sum& sum,
                           base::TimePoint now)
{
  const auto units = static_cast<double>(std::max<std::size_t>(1, map.rowCount()));
  const double mean = sum.total / units;
  const auto seconds = [](base::Duration time) {
    return std::chrono::duration<double>(time).count();
  };
  const base::Duration gap = now - observedAt_;
  countedPerShard_ =
    countedPerShard_ * std::exp(-seconds(gap) / seconds(placement::ShardLoads::kTimeConstant)) +
    mean * seconds(std::min<base::Duration>(gap, kMaxInterval));
  observedTime_ += std::min<base::Duration>(gap, kMaxInterval);
  observedAt_ = now;
  const double weight = countedPerShard_ / (countedPerShard_ + kHalfWeightRequests);
  map.forEachShard([&](base::ShardId shard, const placement::ShardRow&) {
    const auto found = sum.rates.find(shard);
    const double rate = found == sum.rates.end() ? 0.0 : found->second;
    loads_.recordLoad(shard, mean + weight * (rate - mean), now);
  });
}

bool LoadPlanning::knowsLoads() const
{
  return observedTime_ >= kMinObservedTime;
}

void LoadPlanning::mapChanged(const placement::ShardMap& before,
                              const placement::ShardMap& after,
                              base::TimePoint now)
{
  // Merges come first: the index that a merge frees may already be reused for another key.
  for (const placement::KeyOverride& hot : before.overrides()) {
    if (!hasOverride(after, hot)) {
      loads_.merge(hot.shard, before.homeShardOf(hot.key));
    }
  }
  for (const placement::KeyOverride& hot : after.overrides()) {
    if (!hasOverride(before, hot)) {
      loads_.split(after.homeShardOf(hot.key), hot.shard, rateOf(hot.key), now);
    }
  }
}

double LoadPlanning::rateOf(const base::Key& key) const
{
  const auto at = std::ranges::find(summary_.entries, key, &placement::HotKeySummary::Entry::key);
  return at == summary_.entries.end() ? 0.0 : at->guaranteedRate();
}

} // namespace sycamore::control
