#pragma once

#include <base/Ids.h>

namespace sycamore::placement {

// An entry VM that may be chosen as a voter or as the planner. A VM that is leaving counts as not
// live.
struct EntryVm
{
  base::VmId id;
  base::DomainId domain;
  bool isLive = true;
};

} // namespace sycamore::placement
