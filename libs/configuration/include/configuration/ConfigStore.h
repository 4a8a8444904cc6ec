#pragma once

#include <configuration/ConfigDigest.h>
#include <configuration/ConfigObject.h>
#include <configuration/ConfigSnapshot.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace sycamore::configuration {

// Where a VM learned an object from.
enum class ConfigSource
{
  // An answer of the object API.
  Platform,
  // Another entry VM.
  Peer
};

enum class AdoptionResult
{
  // Newer than what was known; now stored.
  Adopted,
  // The version that is already stored.
  Known,
  // An older version; ignored.
  Older,
  // Not stored: this VM has dropped tombstones, so a peer's unknown object could be one that was
  // deleted. Read it from the platform.
  NeedsPlatformRead,
  // The stored version with another value, which the platform never gives; ignored and counted.
  ValueMismatch,
  // Not the name of a configuration object; ignored.
  NotConfiguration
};

// The configuration of one VM: decides which versions to adopt. Versions of an object never go
// back, in any order of platform reads, peers' messages and deletes. Absence from a list is never
// evidence of a delete, since lists can be stale; only a tombstone of a higher version removes an
// object. Belongs to the control thread; the snapshot is safe from all threads.
class ConfigStore
{
public:
  // Tombstones kept in memory. The platform keeps all; a full read brings them back.
  static constexpr std::size_t kMaxTombstones = 4096;

  explicit ConfigStore(std::size_t maxTombstones = kMaxTombstones);

  AdoptionResult adopt(const ConfigObject& object, ConfigSource source);
  // Returns how many were adopted. Publishes one snapshot for all of them.
  std::size_t adoptAll(const ConfigObjects& objects, ConfigSource source);

  // Deleted objects are found too, as long as their tombstone is kept.
  std::optional<ConfigObject> find(const ObjectName& name) const;
  // Version 0 if the object is unknown.
  base::Version versionOf(const ObjectName& name) const;

  const ConfigDigest& digest() const { return digest_; }
  ConfigInventory inventory() const;
  // Objects that are newer here than in the inventory, at most maxBytes of values but at least
  // one object. The rest follows with the next fetch.
  ConfigObjects newerThan(const ConfigInventory& theirs, std::size_t maxBytes = 512 * 1024) const;

  // The configuration in effect; a new pointer after each change.
  std::shared_ptr<const ConfigSnapshot> snapshot() const { return snapshot_; }

  // Counted since the start of the process.
  std::uint64_t adoptions() const { return adoptions_; }
  std::uint64_t valueMismatches() const { return valueMismatches_; }

private:
  struct Entry
  {
    base::Version version;
    std::string value;
    bool deleted = false;
  };

  AdoptionResult evaluate(const ConfigObject& object, ConfigSource source, bool deleted) const;
  void store(const ConfigObject& object, bool deleted);
  void erase(const ObjectName& name);
  void dropOldTombstones();
  AdoptionResult adoptInto(std::shared_ptr<ConfigSnapshot>& next,
                           const ConfigObject& object,
                           ConfigSource source);
  void applyToSnapshot(ConfigSnapshot& next, const ConfigObject& object) const;

  std::size_t maxTombstones_;
  bool droppedTombstones_ = false;
  std::map<ObjectName, Entry> entries_;
  // Which tombstones are kept depends on their versions only, so that VMs that saw the same objects
  // have the same digest.
  std::set<std::pair<base::Version, ObjectName>> tombstones_;
  ConfigDigest digest_;
  std::shared_ptr<const ConfigSnapshot> snapshot_ = std::make_shared<const ConfigSnapshot>();
  std::uint64_t adoptions_ = 0;
  std::uint64_t valueMismatches_ = 0;
};

} // namespace sycamore::configuration
