#pragma once

#include <placement/ShardMap.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Builds a ShardMap from scratch or as a modified copy of another one. Not thread-safe. All methods
// throw PlacementError if the map would become invalid.
class ShardMapBuilder
{
public:
  ShardMapBuilder(base::ServiceId service, std::uint32_t shardCount);
  // Starts with a copy of the map, including its generation and writer.
  explicit ShardMapBuilder(const ShardMap& map);

  ShardMapBuilder& setGeneration(base::Generation generation);
  ShardMapBuilder& setWriter(std::string writer);
  // Adds a server or replaces its entry.
  ShardMapBuilder& setServer(const base::ServerId& server, ServerEntry entry);
  // Removes a server. build() throws if the server is still the owner or successor of a shard.
  ShardMapBuilder& removeServer(const base::ServerId& server);
  // Sets the owner and successor of a shard or an existing override; both must be servers of the
  // map.
  ShardMapBuilder& assign(base::ShardId shard,
                          const base::ServerId& owner,
                          const std::optional<base::ServerId>& successor);
  // Adds an override for a key and returns its index, which is one above the highest in use, so
  // that a freed index is not reused at once for another key.
  base::ShardId addOverride(const base::Key& key,
                            const base::ServerId& owner,
                            const std::optional<base::ServerId>& successor);
  ShardMapBuilder& addOverride(const base::Key& key,
                               base::ShardId shard,
                               const base::ServerId& owner,
                               const std::optional<base::ServerId>& successor);
  ShardMapBuilder& removeOverride(base::ShardId shard);

  // For maps that are decoded: set values that build() keeps instead of setting them to the
  // generation being built.
  ShardMapBuilder& setUnchangedSince(base::ShardId shard, base::Generation unchangedSince);
  ShardMapBuilder& setLastChanged(const base::ServerId& server, base::Generation lastChanged);

  // Builds the map. ShardRow::unchangedSince and MapServer::lastChanged keep their values where
  // nothing differs from the map that the builder started from. Throws if a shard has no owner or
  // if an owner or successor is not a server of the map.
  ShardMap build() const;

  // Returns whether a key can have an override: 1 to 512 bytes of valid UTF-8, because the map is
  // JSON.
  static bool canOverride(const base::Key& key);

private:
  struct Server
  {
    base::ServerId id;
    ServerEntry entry;
    bool isRemoved = false;
    // Generation 0 means the generation being built, here and in the rows.
    base::Generation lastChanged{};
    std::vector<base::VmId> originalVoters{};
  };
  // Differences from the map that the builder started from.
  struct Changes
  {
    std::set<base::ShardId> shards;
    std::vector<bool> servers;
  };

  ServerIndex requireServer(const base::ServerId& server) const;
  ShardRow makeRow(const base::ServerId& owner,
                   const std::optional<base::ServerId>& successor) const;
  ShardRow* findRow(base::ShardId shard);
  std::optional<KeyOverride> snapshotOf(base::ShardId shard) const;
  void saveOriginal(base::ShardId shard);
  Changes findChanges() const;
  void addChange(Changes& changes,
                 base::ShardId shard,
                 const std::optional<KeyOverride>& before,
                 const std::optional<KeyOverride>& after) const;
  void addHomeShardChange(Changes& changes, const KeyOverride& keyOverride) const;
  base::Generation unchangedSinceOf(base::ShardId shard,
                                    const ShardRow& row,
                                    const Changes& changes) const;
  std::vector<ServerIndex> addSortedServers(ShardMap& map, const Changes& changes) const;
  ShardRow remapRow(const ShardRow& row, const std::vector<ServerIndex>& order) const;

  base::ServiceId service_;
  base::Generation generation_;
  std::string writer_;
  std::vector<Server> servers_;
  std::unordered_map<base::ServerId, ServerIndex> index_;
  std::vector<ShardRow> rows_;
  std::map<base::ShardId, KeyOverride> overrides_;
  // Original state of the modified shards and overrides in the map that the builder started from.
  // For shards the key is empty; for overrides that did not exist the value is empty.
  std::map<base::ShardId, std::optional<KeyOverride>> originals_;
  bool startedFromMap_ = false;
};

} // namespace sycamore::placement
