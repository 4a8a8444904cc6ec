#include <placement/PlannerElection.h>

#include "Rendezvous.h"
#include <base/KeyHash.h>

namespace sycamore::placement {

std::optional<base::VmId> electPlanner(const base::ServiceId& service,
                                       std::span<const EntryVm> entryVms)
{
  const std::uint64_t item = base::hashBytes(service.value());
  const EntryVm* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const EntryVm& vm : entryVms) {
    const std::uint64_t score = rendezvousScore(item, base::hashBytes(vm.id.value()));
    // Equal scores are decided by the id, so that all VMs agree.
    const bool better = !best || score > bestScore || (score == bestScore && vm.id < best->id);
    if (vm.isLive && better) {
      best = &vm;
      bestScore = score;
    }
  }
  return best ? std::optional(best->id) : std::nullopt;
}

} // namespace sycamore::placement
