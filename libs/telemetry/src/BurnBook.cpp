#include <telemetry/BurnBook.h>

namespace sycamore::telemetry {

void BurnBook::setServices(const std::map<base::ServiceId, BurnObjective>& services,
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
    entry->burn.setObjective(objective);
  }
}

std::shared_ptr<BurnBook::Entry> BurnBook::find(const base::ServiceId& service) const
{
  const std::shared_lock lock(mutex_);
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : found->second;
}

void BurnBook::recordAnswer(const RequestSample& sample, base::TimePoint now)
{
  if (const auto entry = find(sample.service)) {
    const std::lock_guard lock(entry->mutex);
    entry->burn.recordAnswer(sample, now);
  }
}

void BurnBook::recordLoad(const base::ServiceId& service,
                          const base::ServerId& server,
                          base::TimePoint now)
{
  if (const auto entry = find(service)) {
    const std::lock_guard lock(entry->mutex);
    entry->burn.recordLoad(server, 1, now);
  }
}

void BurnBook::update(const base::ServiceId& service, const Use& use)
{
  if (const auto entry = find(service)) {
    const std::lock_guard lock(entry->mutex);
    use(entry->burn);
  }
}

BurnForm BurnBook::form(const base::VmId& vm, base::TimePoint now) const
{
  std::map<base::ServiceId, std::shared_ptr<Entry>> entries;
  {
    const std::shared_lock lock(mutex_);
    entries = entries_;
  }
  BurnForm form{ vm, {} };
  for (const auto& [service, entry] : entries) {
    const std::lock_guard lock(entry->mutex);
    form.services.emplace(service, entry->burn.form(now));
  }
  return form;
}

} // namespace sycamore::telemetry
