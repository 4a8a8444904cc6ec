#include "ObjectTable.h"

namespace sycamore::platform_stub {

using nlohmann::json;

namespace {

// Interval at which a waiting watch checks whether it is cancelled.
constexpr base::milliseconds kCancelCheckInterval{ 20 };

} // namespace

json ObjectTable::toJson(const std::string& kind, const std::string& name, const Object& object)
{
  return {
    { "kind", kind }, { "name", name }, { "version", object.version }, { "value", object.value }
  };
}

const ObjectTable::Object* ObjectTable::find(const std::string& kind, const std::string& name) const
{
  const auto foundKind = kinds_.find(kind);
  if (foundKind == kinds_.end()) {
    return nullptr;
  }
  const auto found = foundKind->second.objects.find(name);
  return found == foundKind->second.objects.end() ? nullptr : &found->second;
}

json ObjectTable::get(const std::string& kind, const std::string& name) const
{
  const std::lock_guard lock(mutex_);
  const Object* object = find(kind, name);
  return object == nullptr ? json() : toJson(kind, name, *object);
}

json ObjectTable::list(const std::string& kind) const
{
  const std::lock_guard lock(mutex_);
  json all = changesAfter(kind, 0);
  all.erase("deleted");
  return all;
}

ObjectTable::WriteResult ObjectTable::put(const std::string& kind,
                                          const std::string& name,
                                          std::uint64_t expectedVersion,
                                          json value)
{
  const std::lock_guard lock(mutex_);
  const Object* current = find(kind, name);
  if ((current == nullptr ? 0 : current->version) != expectedVersion) {
    return { false, toJson(kind, name, current == nullptr ? Object() : *current) };
  }
  Kind& table = kinds_[kind];
  Object& object = table.objects[name];
  object = { ++revision_, std::move(value) };
  table.deletions.erase(name);
  table.revision = revision_;
  changed_.notify_all();
  return { true, toJson(kind, name, object) };
}

ObjectTable::WriteResult ObjectTable::remove(const std::string& kind,
                                             const std::string& name,
                                             std::uint64_t expectedVersion)
{
  const std::lock_guard lock(mutex_);
  const Object* current = find(kind, name);
  if (current == nullptr || current->version != expectedVersion) {
    return { false, toJson(kind, name, current == nullptr ? Object() : *current) };
  }
  Kind& table = kinds_[kind];
  table.objects.erase(name);
  table.deletions[name] = ++revision_;
  table.revision = revision_;
  changed_.notify_all();
  return { true, toJson(kind, name, { revision_, nullptr }) };
}

std::uint64_t ObjectTable::revision() const
{
  const std::lock_guard lock(mutex_);
  return revision_;
}

json ObjectTable::changesAfter(const std::string& kind, std::uint64_t after) const
{
  json objects = json::array();
  json deleted = json::array();
  const auto found = kinds_.find(kind);
  if (found != kinds_.end()) {
    for (const auto& [name, object] : found->second.objects) {
      if (object.version > after) {
        objects.push_back(toJson(kind, name, object));
      }
    }
    for (const auto& [name, revision] : found->second.deletions) {
      if (revision > after) {
        deleted.push_back(name);
      }
    }
  }
  return { { "revision", revision_ }, { "objects", objects }, { "deleted", deleted } };
}

json ObjectTable::watch(const std::string& kind,
                        std::uint64_t after,
                        base::TimePoint deadline,
                        const std::function<bool()>& cancelled)
{
  const base::SteadyClock clock{};
  std::unique_lock lock(mutex_);
  while (kinds_[kind].revision <= after && clock.now() < deadline && !cancelled()) {
    const auto slice = std::min<base::Duration>(kCancelCheckInterval, deadline - clock.now());
    changed_.wait_for(lock, slice);
  }
  return changesAfter(kind, after);
}

} // namespace sycamore::platform_stub
