#include "LoadPlanning.h"

#include <algorithm>
#include <cmath>

namespace sycamore::control {

namespace {

constexpr std::chrono::seconds kRefreshInterval{ 1 };
// After a gap in planning the reports of all VMs have arrived within this time. A sum that lacks
// some would make shards look idle.
constexpr std::chrono::seconds kSettleTime{ 2 };
constexpr std::chrono::seconds kGap{ 5 };
// A sum covers about a second, however long ago the one before was.
constexpr std::chrono::milliseconds kMaxInterval{ 1500 };
// Below this many requests per second the differences between shards are noise.
constexpr double kMinTraffic = 20.0;
// About eight requests within the trackers' time constant. Without this mark two requests that meet
// by chance while traffic starts would split their key out.
constexpr double kMinHotRate = 4.0;

// With so many requests counted per shard, half of a shard's difference from the mean is believed.
// Taken in full, the chance differences of the first seconds would move shards back and forth.
constexpr double kHalfBelief = 30.0;

// Skew between shards shows within a few seconds of traffic; balancing earlier moves shards again
// as the estimate becomes more exact.
constexpr std::chrono::seconds kLearningTime{ 10 };

bool holds(const placement::ShardMap& map, const placement::KeyOverride& hot)
{
  const placement::KeyOverride* known = map.overrideOf(hot.key);
  return known != nullptr && known->shard == hot.shard;
}

} // namespace

void LoadPlanning::note(const base::VmId& from, ServiceLoad load, base::TimePoint now)
{
  book_.note(from, std::move(load), now);
}

void LoadPlanning::refresh(const placement::ShardMap& map,
                           std::size_t serverCount,
                           base::TimePoint now)
{
  const bool first = refreshedAt_ == base::TimePoint();
  if (!first && now - refreshedAt_ < kRefreshInterval) {
    return;
  }
  if (first || now - refreshedAt_ > kGap) {
    startedAt_ = now;
  }
  refreshedAt_ = now;
  if (now - startedAt_ < kSettleTime) {
    decision_ = {};
    return;
  }
  const LoadBook::Sum sum = book_.sum(map, now);
  const bool busy = sum.total >= kMinTraffic;
  // A service without traffic keeps its loads: shards spread anew at night would move back by day.
  if (busy) {
    observe(map, sum, now);
  }
  summary_ = sum.hotKeys;
  decision_ = policy_.decide(map, summary_, serverCount, now);
  std::erase_if(decision_.hot,
                [&](const base::Key& key) { return !busy || rateOf(key) < kMinHotRate; });
}

void LoadPlanning::observe(const placement::ShardMap& map,
                           const LoadBook::Sum& sum,
                           base::TimePoint now)
{
  const auto units = static_cast<double>(std::max<std::size_t>(1, map.rowCount()));
  const double mean = sum.total / units;
  const auto seconds = [](base::Duration time) {
    return std::chrono::duration<double>(time).count();
  };
  const base::Duration gap = now - observedAt_;
  counted_ = counted_ * std::exp(-seconds(gap) / seconds(placement::ShardLoads::kTimeConstant)) +
             mean * seconds(std::min<base::Duration>(gap, kMaxInterval));
  covered_ += std::min<base::Duration>(gap, kMaxInterval);
  observedAt_ = now;
  const double belief = counted_ / (counted_ + kHalfBelief);
  map.forEachShard([&](base::ShardId shard, const placement::ShardRow&) {
    const auto found = sum.rates.find(shard);
    const double rate = found == sum.rates.end() ? 0.0 : found->second;
    loads_.recordLoad(shard, mean + belief * (rate - mean), now);
  });
}

bool LoadPlanning::knowsLoads() const
{
  return covered_ >= kLearningTime;
}

void LoadPlanning::mapChanged(const placement::ShardMap& before,
                              const placement::ShardMap& after,
                              base::TimePoint now)
{
  // Merges first: an index that is free again may already be another key's.
  for (const placement::KeyOverride& hot : before.overrides()) {
    if (!holds(after, hot)) {
      loads_.merge(hot.shard, before.homeShardOf(hot.key));
    }
  }
  for (const placement::KeyOverride& hot : after.overrides()) {
    if (!holds(before, hot)) {
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
