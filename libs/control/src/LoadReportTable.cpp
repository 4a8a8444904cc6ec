#include "LoadReportTable.h"

namespace sycamore::control {

namespace {

// Reports arrive every second. If a single report is lost, its VM's load still counts.
constexpr std::chrono::milliseconds kReportLifetime{ 2500 };
constexpr std::size_t kMaxHotKeys = 512;

// Returns whether a reported rate still belongs to this shard: the index of an override may have
// been reused for another key since the report.
bool isCurrent(const placement::ShardMap& map, base::ShardId shard, base::Generation reported)
{
  return map.contains(shard) &&
         (shard.value() < map.shardCount() || map.unchangedSince(shard) <= reported);
}

} // namespace

void LoadReportTable::record(const base::VmId& from, ServiceLoad load, base::TimePoint now)
{
  dropExpired(now);
  entries_[from] = { std::move(load), now };
}

// Called by record() too: a VM that no longer plans the service never calls sum(), and would keep
// the reports of all VMs that ever existed.
void LoadReportTable::dropExpired(base::TimePoint now)
{
  std::erase_if(entries_,
                [&](const auto& entry) { return now - entry.second.at > kReportLifetime; });
}

LoadReportTable::Sum LoadReportTable::sum(const placement::ShardMap& map, base::TimePoint now)
{
  dropExpired(now);
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
