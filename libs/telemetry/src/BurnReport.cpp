#include <telemetry/BurnReport.h>

namespace sycamore::telemetry {

void BurnReport::add(const BurnForm& form)
{
  if (!vms_.insert(form.vm).second) {
    return;
  }
  missing_.erase(form.vm);
  for (const auto& [service, value] : form.services) {
    const auto [found, isNew] = services_.emplace(service, value);
    if (!isNew) {
      found->second.merge(value);
    }
  }
}

void BurnReport::addMissing(const base::VmId& vm)
{
  if (!vms_.contains(vm)) {
    missing_.insert(vm);
  }
}

void BurnReport::keepOnly(const base::ServiceId& service)
{
  std::erase_if(services_, [&](const auto& entry) { return entry.first != service; });
}

} // namespace sycamore::telemetry
