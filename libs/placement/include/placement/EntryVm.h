#pragma once

#include <base/Ids.h>

namespace sycamore::placement {

// An entry VM as a possible voter or planner. Leaving VMs count as not live.
struct EntryVm
{
  base::VmId id;
  base::DomainId domain;
  bool isLive = true;
};

} // namespace sycamore::placement
