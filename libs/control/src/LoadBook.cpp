#include "LoadBook.h"

namespace sycamore::control {

namespace {

// Reports come every second; one may be lost without its VM's load vanishing.
constexpr std::chrono::milliseconds kReportLife{ 2500 };
constexpr std::size_t kMaxHotKeys = 512;

// An index of an override may have passed to another key since the report.
bool isCurrent(const placement::ShardMap& map, base::ShardId shard, base::Generation reported)
{
  return map.contains(shard) &&
         (shard.value() < map.shardCount() || map.unchangedSince(shard) <= reported);
}

} // namespace

void LoadBook::note(const base::VmId& from, ServiceLoad load, base::TimePoint now)
{
  dropOld(now);
  entries_[from] = { std::move(load), now };
}

// Also without sums: a VM that no longer plans would keep the reports of all VMs that ever were.
void LoadBook::dropOld(base::TimePoint now)
{
  std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.at > kReportLife; });
}

LoadBook::Sum LoadBook::sum(const placement::ShardMap& map, base::TimePoint now)
{
  dropOld(now);
  Sum sum;
  for (const auto& [vm, entry] : entries_) {
    for (const auto& [shard, rate] : entry.load.rates) {
      if (isCurrent(map, shard, entry.load.generation)) {
        sum.rates[shard] += rate;
        sum.total += rate;
      }
    }
    sum.hotKeys = placement::merge(sum.hotKeys, entry.load.hotKeys, kMaxHotKeys);
  }
  return sum;
}

} // namespace sycamore::control
