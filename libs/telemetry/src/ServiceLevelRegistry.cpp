#include <telemetry/ServiceLevelRegistry.h>

namespace sycamore::telemetry {

void ServiceLevelRegistry::setServices(
  const std::map<base::ServiceId, ServiceLevelObjective>& services,
  base::TimePoint now)
{
  const std::unique_lock lock(mutex_);
  std::erase_if(entries_, [&](const auto& entry) { return !services.contains(entry.first); });
  for (const auto& [service, objective] : services) {
    auto& entry = entries_[service];
    if (!entry) {
      entry = std::make_shared<Entry>(objective, now);
    }
    const std::lock_guard entryLock(entry->mutex);
    entry->tracker.setObjective(objective);
  }
}

std::shared_ptr<ServiceLevelRegistry::Entry> ServiceLevelRegistry::find(
  const base::ServiceId& service) const
{
  const std::shared_lock lock(mutex_);
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : found->second;
}

void ServiceLevelRegistry::recordAnswer(const RequestSample& sample, base::TimePoint now)
{
  if (const auto entry = find(sample.service)) {
    const std::lock_guard lock(entry->mutex);
    entry->tracker.recordAnswer(sample, now);
  }
}

void ServiceLevelRegistry::recordLoad(const base::ServiceId& service,
                                      const base::ServerId& server,
                                      base::TimePoint now)
{
  if (const auto entry = find(service)) {
    const std::lock_guard lock(entry->mutex);
    entry->tracker.recordLoad(server, 1, now);
  }
}

void ServiceLevelRegistry::update(const base::ServiceId& service, const Update& updateTracker)
{
  if (const auto entry = find(service)) {
    const std::lock_guard lock(entry->mutex);
    updateTracker(entry->tracker);
  }
}

VmSnapshot ServiceLevelRegistry::snapshot(const base::VmId& vm, base::TimePoint now) const
{
  std::map<base::ServiceId, std::shared_ptr<Entry>> entries;
  {
    const std::shared_lock lock(mutex_);
    entries = entries_;
  }
  VmSnapshot snapshot{ vm, {} };
  for (const auto& [service, entry] : entries) {
    const std::lock_guard lock(entry->mutex);
    snapshot.services.emplace(service, entry->tracker.snapshot(now));
  }
  return snapshot;
}

} // namespace sycamore::telemetry
