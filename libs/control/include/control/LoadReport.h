#pragma once

#include <base/Ids.h>
#include <placement/HotKeySummary.h>

#include <map>
#include <vector>

namespace sycamore::control {

// The requests of callers for one service that one entry VM counted lately.
struct ServiceLoad
{
  base::ServiceId service;
  // The map in use when the report was made.
  base::Generation generation;
  // Requests per second by shard, without idle shards.
  std::map<base::ShardId, double> rates;
  placement::HotKeySummary hotKeys;
};

// Body of /peer/load: the services that the receiver plans.
struct LoadReport
{
  base::VmId from;
  std::vector<ServiceLoad> services;
};

} // namespace sycamore::control
