#pragma once

#include <base/Ids.h>
#include <placement/EntryVm.h>

#include <optional>
#include <span>

namespace sycamore::placement {

// The live entry VM that plans for a service, by rendezvous hashing. VMs that see different lists
// may both plan for a moment; the conditional write of the map decides then. Empty without live
// VMs.
std::optional<base::VmId> electPlanner(const base::ServiceId& service,
                                       std::span<const EntryVm> entryVms);

} // namespace sycamore::placement
