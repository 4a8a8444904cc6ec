#pragma once

#include <base/Ids.h>

#include <string>
#include <vector>

namespace sycamore::placement {

// Properties of a backend server in a shard map, other than its shards.
struct ServerEntry
{
  // "ip:port".
  std::string address;
  base::DomainId domain;
  // One to three distinct entry VMs in order of preference; three wherever that many exist.
  std::vector<base::VmId> voters;

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

} // namespace sycamore::placement
