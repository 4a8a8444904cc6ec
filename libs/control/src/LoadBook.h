#pragma once

#include <base/Time.h>
#include <control/LoadReport.h>
#include <placement/ShardMap.h>

#include <map>

namespace sycamore::control {

// The latest load reports of all entry VMs for one service, as its planner holds them.
class LoadBook
{
public:
  struct Sum
  {
    // Requests per second by shard, over all VMs.
    std::map<base::ShardId, double> rates;
    placement::HotKeySummary hotKeys;
    double total = 0;
  };

  void note(const base::VmId& from, ServiceLoad load, base::TimePoint now);
  // The sum of the reports that are not older than a few report intervals.
  Sum sum(const placement::ShardMap& map, base::TimePoint now);

private:
  void dropOld(base::TimePoint now);

  struct Entry
  {
    ServiceLoad load;
    base::TimePoint at;
  };

  std::map<base::VmId, Entry> entries_;
};

} // namespace sycamore::control
