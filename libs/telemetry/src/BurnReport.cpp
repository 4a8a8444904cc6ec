#include <telemetry/BurnReport.h>

namespace sycamore::telemetry {

void BurnReport::add(const VmSnapshot& snapshot)
{
  if (!vms_.insert(snapshot.vm).second) {
    return;
  }
  missingVms_.erase(snapshot.vm);
  for (const auto& [service, serviceSnapshot] : snapshot.services) {
    const auto [existing, isInserted] = services_.emplace(service, serviceSnapshot);
    if (!isInserted) {
      existing->second.merge(serviceSnapshot);
    }
  }
}

void BurnReport::addMissingVm(const base::VmId& vm)
{
  if (!vms_.contains(vm)) {
    missingVms_.insert(vm);
  }
}

void BurnReport::keepOnly(const base::ServiceId& service)
{
  std::erase_if(services_, [&](const auto& entry) { return entry.first != service; });
}

} // namespace sycamore::telemetry
