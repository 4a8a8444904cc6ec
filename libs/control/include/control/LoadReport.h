#pragma once

#include <base/Ids.h>
#include <placement/HotKeySummary.h>

#include <map>
#include <vector>

namespace sycamore::control {

// Request rates of one service's callers, as one entry VM measured them since its last report.
struct ServiceLoad
{
  base::ServiceId service;
  // Generation of the map in use when the report was made.
  base::Generation generation;
  // Requests per second by shard, without idle shards.
  std::map<base::ShardId, double> rates;
  placement::HotKeySummary hotKeys;
};

// Body of /peer/load: the loads of the services whose planner is the receiver.
struct LoadReport
{
  base::VmId from;
  std::vector<ServiceLoad> services;
};

} // namespace sycamore::control
