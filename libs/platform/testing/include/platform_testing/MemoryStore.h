#pragma once

#include <base/Time.h>
#include <platform/ObjectCodec.h>
#include <platform/ObjectStore.h>
#include <platform/PlatformError.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::platform_testing {

// In-memory implementation of the platform's object API for tests. Thread-safe. Only watch()
// blocks.
class MemoryStore
{
public:
  // Simulates an outage: while down, all calls throw Unavailable without effect.
  void setDown(bool down)
  {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }

  // Lets the next `count` puts end in doubt; `applied` determines whether they take effect.
  void leaveNextPutsInDoubt(unsigned count, bool applied)
  {
    const std::lock_guard lock(mutex_);
    putsInDoubt_ = count;
    putsInDoubtApplied_ = applied;
  }

  void setVms(std::vector<platform::VmRecord> vms)
  {
    const std::lock_guard lock(mutex_);
    vms_ = std::move(vms);
  }

  unsigned calls() const
  {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

  std::optional<platform::StoredObject> get(const std::string& kind,
                                            const std::string& name,
                                            base::TimePoint /*deadline*/)
  {
    const std::lock_guard lock(mutex_);
    recordCall();
    const auto found = objects_.find({ kind, name });
    return found == objects_.end() ? std::nullopt : std::optional(found->second);
  }

  platform::ObjectList list(const std::string& kind, base::TimePoint /*deadline*/)
  {
    const std::lock_guard lock(mutex_);
    recordCall();
    return { platform::Revision(revision_), changesAfter(kind, 0).objects };
  }

  platform::WriteResult put(const std::string& kind,
                            const std::string& name,
                            base::Version expected,
                            const nlohmann::json& value,
                            base::TimePoint /*deadline*/)
  {
    platform::ObjectCodec::writerToken(value);
    const std::lock_guard lock(mutex_);
    recordCall();
    const bool endsInDoubt = putsInDoubt_ > 0;
    putsInDoubt_ -= endsInDoubt ? 1 : 0;
    if (endsInDoubt && !putsInDoubtApplied_) {
      return platform::InDoubt{};
    }
    const platform::StoredObject current = currentOf(kind, name);
    if (current.version != expected) {
      return platform::Conflict{ current };
    }
    const base::Version version(++revision_);
    objects_[{ kind, name }] = { kind, name, version, value };
    deletions_.erase({ kind, name });
    changed_.notify_all();
    return endsInDoubt ? platform::WriteResult(platform::InDoubt{})
                       : platform::Confirmed{ version };
  }

  platform::WriteResult resolveInDoubt(const std::string& kind,
                                       const std::string& name,
                                       base::Version expected,
                                       const nlohmann::json& value,
                                       base::TimePoint deadline)
  {
    try {
      const auto found = get(kind, name, deadline);
      const auto current = found.value_or(platform::StoredObject{ kind, name, {}, nullptr });
      if (current.version != expected) {
        return platform::ObjectCodec::resolve(
          current, platform::ObjectCodec::writerToken(value), true);
      }
      return put(kind, name, expected, value, deadline);
    } catch (const platform::Unavailable&) {
      return platform::InDoubt{};
    }
  }

  platform::WriteResult remove(const std::string& kind,
                               const std::string& name,
                               base::Version expected,
                               base::TimePoint /*deadline*/)
  {
    const std::lock_guard lock(mutex_);
    recordCall();
    const platform::StoredObject current = currentOf(kind, name);
    if (current.version != expected || expected.value() == 0) {
      return platform::Conflict{ current };
    }
    objects_.erase({ kind, name });
    deletions_[{ kind, name }] = ++revision_;
    changed_.notify_all();
    return platform::Confirmed{ base::Version(revision_) };
  }

  platform::ObjectChanges watch(const std::string& kind,
                                platform::Revision after,
                                base::TimePoint deadline)
  {
    std::unique_lock lock(mutex_);
    recordCall();
    if (after.value() > revision_) {
      throw platform::RevisionUnknown("revision is not known");
    }
    const base::SteadyClock clock{};
    platform::ObjectChanges changes = changesAfter(kind, after.value());
    while (changes.objects.empty() && changes.deleted.empty() && clock.now() < deadline) {
      changed_.wait_for(lock, deadline - clock.now());
      failIfDown();
      changes = changesAfter(kind, after.value());
    }
    return changes;
  }

  std::vector<platform::VmRecord> listVms(base::TimePoint /*deadline*/)
  {
    const std::lock_guard lock(mutex_);
    recordCall();
    return vms_;
  }

private:
  using Id = std::pair<std::string, std::string>;

  void failIfDown() const
  {
    if (down_) {
      throw platform::Unavailable("the store is down");
    }
  }

  void recordCall()
  {
    ++calls_;
    failIfDown();
  }

  platform::StoredObject currentOf(const std::string& kind, const std::string& name) const
  {
    const auto found = objects_.find({ kind, name });
    return found == objects_.end() ? platform::StoredObject{ kind, name, {}, nullptr }
                                   : found->second;
  }

  platform::ObjectChanges changesAfter(const std::string& kind, std::uint64_t after) const
  {
    platform::ObjectChanges changes{ platform::Revision(revision_), {}, {} };
    for (const auto& [id, object] : objects_) {
      if (id.first == kind && object.version.value() > after) {
        changes.objects.push_back(object);
      }
    }
    for (const auto& [id, revision] : deletions_) {
      if (id.first == kind && revision > after) {
        changes.deleted.push_back(id.second);
      }
    }
    return changes;
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Id, platform::StoredObject> objects_;
  std::map<Id, std::uint64_t> deletions_;
  std::vector<platform::VmRecord> vms_;
  std::uint64_t revision_ = 0;
  unsigned calls_ = 0;
  unsigned putsInDoubt_ = 0;
  bool putsInDoubtApplied_ = false;
  bool down_ = false;
};

static_assert(platform::ObjectStore<MemoryStore>);

} // namespace sycamore::platform_testing
