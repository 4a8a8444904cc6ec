#pragma once

#include <base/Time.h>
#include <control/LoadReport.h>
#include <placement/ShardMap.h>

#include <map>

namespace sycamore::control {

// The latest load reports of all entry VMs for one service. Kept by the service's planner.
class LoadReportTable
{
public:
  struct Sum
  {
    // Requests per second by shard, over all VMs.
    std::map<base::ShardId, double> rates;
    placement::HotKeySummary hotKeys;
    double total = 0;
  };

  void record(const base::VmId& from, ServiceLoad load, base::TimePoint now);
  // Returns the sum of the reports that have not expired.
  Sum sum(const placement::ShardMap& map, base::TimePoint now);

private:
  void dropExpired(base::TimePoint now);

  struct Entry
  {
    ServiceLoad load;
    base::TimePoint at;
  };

  std::map<base::VmId, Entry> entries_;
};

} // namespace sycamore::control
