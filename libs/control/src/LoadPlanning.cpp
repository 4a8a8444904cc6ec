#include "LoadPlanning.h"

#include <algorithm>

namespace sycamore::control {

namespace {

constexpr std::chrono::seconds kRefreshInterval{ 1 };
// After a gap in planning the reports of all VMs have arrived within this time. A sum that lacks
// some would make shards look idle.
constexpr std::chrono::seconds kSettleTime{ 2 };
constexpr std::chrono::seconds kGap{ 5 };
// Below this many requests per second the differences between shards are noise.
constexpr double kMinTraffic = 20.0;
// About eight requests within the trackers' time constant. Without this mark two requests that meet
// by chance while traffic starts would split their key out.
constexpr double kMinHotRate = 4.0;

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
  map.forEachShard([&](base::ShardId shard, const placement::ShardRow&) {
    const auto rate = sum.rates.find(shard);
    loads_.observe(shard, busy && rate != sum.rates.end() ? rate->second : 0.0, now);
  });
  summary_ = sum.hotKeys;
  decision_ = policy_.decide(map, summary_, serverCount, now);
  std::erase_if(decision_.hot,
                [&](const base::Key& key) { return !busy || rateOf(key) < kMinHotRate; });
}

void LoadPlanning::applied(const placement::Plan& plan,
                           const placement::ShardMap& before,
                           const placement::ShardMap& after,
                           base::TimePoint now)
{
  for (const base::Key& key : plan.splits) {
    if (const auto* hot = after.overrideOf(key)) {
      loads_.split(after.homeShardOf(key), hot->shard, rateOf(key), now);
    }
  }
  for (const base::ShardId shard : plan.merges) {
    if (const auto* hot = before.overrideAt(shard)) {
      loads_.merge(shard, before.homeShardOf(hot->key));
    }
  }
}

double LoadPlanning::rateOf(const base::Key& key) const
{
  const auto at = std::ranges::find(summary_.entries, key, &placement::HotKeySummary::Entry::key);
  return at == summary_.entries.end() ? 0.0 : at->certainRate();
}

} // namespace sycamore::control
