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

// Source from which a VM received an object.
enum class ConfigSource
{
  // An answer of the platform's object API.
  Platform,
  // Another entry VM.
  Peer
};

enum class AdoptionResult
{
  // Newer than the known version; now stored.
  Adopted,
  // Same version and value as stored.
  Known,
  // An older version; ignored.
  Older,
  // Not stored: this VM has dropped tombstones, so an unknown object that a peer sends may have
  // been deleted since. It has to be read from the platform.
  NeedsPlatformRead,
  // Same version as stored but another value, which the platform never returns; ignored and
  // counted.
  ValueMismatch,
  // Not the name of a configuration object; ignored.
  NotConfiguration
};

// The configuration of one VM; decides which versions to adopt. The version of an object never
// decreases, in whatever order platform reads, peers' messages and deletes arrive. Absence from a
// list is never evidence of a delete, since lists can be stale; only a tombstone of a higher
// version removes an object. Used on the control thread only; the snapshot is thread-safe.
class ConfigStore
{
public:
  // Maximum number of tombstones kept in memory. The platform keeps all of them; a full read
  // returns them again.
  static constexpr std::size_t kMaxTombstones = 4096;

  explicit ConfigStore(std::size_t maxTombstones = kMaxTombstones);

  AdoptionResult adopt(const ConfigObject& object, ConfigSource source);
  // Returns the number of adopted objects. Publishes one snapshot for all of them.
  std::size_t adoptAll(const ConfigObjects& objects, ConfigSource source);

  // Also finds deleted objects as long as their tombstone is kept.
  std::optional<ConfigObject> find(const ObjectName& name) const;
  // Returns version 0 if the object is unknown.
  base::Version versionOf(const ObjectName& name) const;

  const ConfigDigest& digest() const { return digest_; }
  ConfigInventory inventory() const;
  // Returns the objects that are newer here than in the inventory: at most maxBytes of values, but
  // at least one object. The remaining ones are returned by the next fetch.
  ConfigObjects newerThan(const ConfigInventory& theirs, std::size_t maxBytes = 512 * 1024) const;

  // Returns the configuration in effect; each change publishes a new snapshot.
  std::shared_ptr<const ConfigSnapshot> snapshot() const { return snapshot_; }

  // Counters since the start of the process.
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
  // Ordered by version: which tombstones are kept depends on their versions only, so that VMs that
  // received the same objects have the same digest.
  std::set<std::pair<base::Version, ObjectName>> tombstones_;
  ConfigDigest digest_;
  std::shared_ptr<const ConfigSnapshot> snapshot_ = std::make_shared<const ConfigSnapshot>();
  std::uint64_t adoptions_ = 0;
  std::uint64_t valueMismatches_ = 0;
};

} // namespace sycamore::configuration
