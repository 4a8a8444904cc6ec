#include <configuration/ConfigStore.h>
#include <configuration/ConfigValidator.h>
#include <configuration/StoredValue.h>

namespace sycamore::configuration {

namespace {

bool isConfiguration(const ObjectName& name)
{
  return serviceOf(name).has_value() || domainOf(name).has_value();
}

Validated<ServiceConfig> readDocumentOf(const base::ServiceId& id, const std::string& document)
{
  auto read = ConfigValidator().readService(document);
  if (read.config && read.config->service != id) {
    return { std::nullopt, { { "/service", "is not the id of the object's name" } } };
  }
  return read;
}

Validated<DomainConfig> readDocumentOf(const base::DomainId& id, const std::string& document)
{
  auto read = ConfigValidator().readDomain(document);
  if (read.config && read.config->domain != id) {
    return { std::nullopt, { { "/domain", "is not the id of the object's name" } } };
  }
  return read;
}

// Puts the object's document into effect, or keeps the last usable one and records the faults.
template<typename Id, typename Config>
void applyDocument(const Id& id,
                   const ConfigObject& object,
                   base::Version previous,
                   std::map<Id, Config>& inEffect,
                   std::map<ObjectName, UnusableObject>& unusable)
{
  const auto stored = StoredValue::parse(object.value);
  const auto recorded = unusable.find(object.name);
  const base::Version versionInUse =
    recorded == unusable.end() ? previous : recorded->second.versionInUse;
  if (stored.isDeleted()) {
    inEffect.erase(id);
    unusable.erase(object.name);
    return;
  }
  auto read = readDocumentOf(id, stored.document());
  if (!read.config) {
    const bool hasUsable = inEffect.contains(id);
    unusable[object.name] = { object.version,
                              hasUsable ? versionInUse : base::Version(),
                              read.faults };
    return;
  }
  inEffect.insert_or_assign(id, std::move(*read.config));
  unusable.erase(object.name);
}

} // namespace

ConfigStore::ConfigStore(std::size_t maxTombstones)
  : maxTombstones_(maxTombstones)
{
}

AdoptionResult ConfigStore::adopt(const ConfigObject& object, ConfigSource source)
{
  std::shared_ptr<ConfigSnapshot> next;
  const AdoptionResult verdict = adoptInto(next, object, source);
  if (next) {
    snapshot_ = std::move(next);
  }
  return verdict;
}

std::size_t ConfigStore::adoptAll(const ConfigObjects& objects, ConfigSource source)
{
  std::shared_ptr<ConfigSnapshot> next;
  std::size_t adopted = 0;
  for (const ConfigObject& object : objects) {
    adopted += adoptInto(next, object, source) == AdoptionResult::Adopted ? 1 : 0;
  }
  if (next) {
    snapshot_ = std::move(next);
  }
  return adopted;
}

std::optional<ConfigObject> ConfigStore::find(const ObjectName& name) const
{
  const auto found = entries_.find(name);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return ConfigObject{ name, found->second.version, found->second.value };
}

base::Version ConfigStore::versionOf(const ObjectName& name) const
{
  const auto found = entries_.find(name);
  return found == entries_.end() ? base::Version() : found->second.version;
}

ConfigInventory ConfigStore::inventory() const
{
  ConfigInventory inventory;
  for (const auto& [name, entry] : entries_) {
    inventory.emplace(name, entry.version);
  }
  return inventory;
}

ConfigObjects ConfigStore::newerThan(const ConfigInventory& theirs, std::size_t maxBytes) const
{
  ConfigObjects newer;
  std::size_t bytes = 0;
  for (const auto& [name, entry] : entries_) {
    const auto known = theirs.find(name);
    if (known != theirs.end() && known->second >= entry.version) {
      continue;
    }
    bytes += entry.value.size();
    if (!newer.empty() && bytes > maxBytes) {
      break;
    }
    newer.push_back({ name, entry.version, entry.value });
  }
  return newer;
}

AdoptionResult ConfigStore::evaluate(const ConfigObject& object,
                                     ConfigSource source,
                                     bool deleted) const
{
  const auto found = entries_.find(object.name);
  if (found != entries_.end()) {
    const Entry& known = found->second;
    if (object.version != known.version) {
      return object.version > known.version ? AdoptionResult::Adopted : AdoptionResult::Older;
    }
    return object.value == known.value ? AdoptionResult::Known : AdoptionResult::ValueMismatch;
  }
  if (object.version == base::Version()) {
    return AdoptionResult::Older;
  }
  const bool wouldBeDropped =
    deleted && tombstones_.size() >= maxTombstones_ &&
    (tombstones_.empty() || *tombstones_.begin() > std::pair(object.version, object.name));
  if (wouldBeDropped) {
    return AdoptionResult::Older;
  }
  // This includes tombstones: an old one would let versions be adopted that are older than a
  // dropped tombstone of the same object.
  if (source == ConfigSource::Peer && droppedTombstones_) {
    return AdoptionResult::NeedsPlatformRead;
  }
  return AdoptionResult::Adopted;
}

void ConfigStore::store(const ConfigObject& object, bool deleted)
{
  erase(object.name);
  entries_[object.name] = { object.version, object.value, deleted };
  digest_.toggle(object.name, object.version);
  if (deleted) {
    tombstones_.emplace(object.version, object.name);
    dropOldTombstones();
  }
}

void ConfigStore::erase(const ObjectName& name)
{
  const auto found = entries_.find(name);
  if (found == entries_.end()) {
    return;
  }
  digest_.toggle(name, found->second.version);
  tombstones_.erase({ found->second.version, name });
  entries_.erase(found);
}

void ConfigStore::dropOldTombstones()
{
  while (tombstones_.size() > maxTombstones_) {
    const ObjectName oldest = tombstones_.begin()->second;
    erase(oldest);
    droppedTombstones_ = true;
  }
}

// Copies the current snapshot to `next` before the first object is adopted.
AdoptionResult ConfigStore::adoptInto(std::shared_ptr<ConfigSnapshot>& next,
                                      const ConfigObject& object,
                                      ConfigSource source)
{
  if (!isConfiguration(object.name)) {
    return AdoptionResult::NotConfiguration;
  }
  const bool deleted = StoredValue::parse(object.value).isDeleted();
  const AdoptionResult verdict = evaluate(object, source, deleted);
  if (verdict == AdoptionResult::ValueMismatch) {
    ++valueMismatches_;
  }
  if (verdict == AdoptionResult::Adopted) {
    if (!next) {
      next = std::make_shared<ConfigSnapshot>(*snapshot_);
    }
    applyToSnapshot(*next, object);
    store(object, deleted);
    ++adoptions_;
  }
  return verdict;
}

void ConfigStore::applyToSnapshot(ConfigSnapshot& next, const ConfigObject& object) const
{
  const base::Version previous = versionOf(object.name);
  if (const auto service = serviceOf(object.name)) {
    applyDocument(*service, object, previous, next.services, next.unusable);
  } else if (const auto domain = domainOf(object.name)) {
    applyDocument(*domain, object, previous, next.domains, next.unusable);
  }
}

} // namespace sycamore::configuration
