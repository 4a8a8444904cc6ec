#pragma once

#include <base/Ids.h>
#include <placement/EntryVm.h>

#include <optional>
#include <span>

namespace sycamore::placement {

// Returns the live entry VM that plans for a service, chosen by rendezvous hashing. Returns nothing
// if no VM is live. VMs that see different lists may both plan for a moment; the conditional write
// of the map then decides which plan is used.
std::optional<base::VmId> electPlanner(const base::ServiceId& service,
                                       std::span<const EntryVm> entryVms);

} // namespace sycamore::placement
