#pragma once

#include <placement/ShardMap.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Makes a ShardMap, from nothing or as a change of another one. Not thread-safe. All methods throw
// PlacementError when a rule of the map would break.
class ShardMapBuilder
{
public:
  ShardMapBuilder(base::ServiceId service, std::uint32_t shardCount);
  // Starts as a copy, with the same generation and writer.
  explicit ShardMapBuilder(const ShardMap& map);

  ShardMapBuilder& setGeneration(base::Generation generation);
  ShardMapBuilder& setWriter(std::string writer);
  // Adds a server or replaces its entry.
  ShardMapBuilder& setServer(const base::ServerId& server, ServerEntry entry);
  // build() fails if the server still owns or succeeds a shard.
  ShardMapBuilder& removeServer(const base::ServerId& server);
  // Names owner and successor of a shard or an existing override; both must be known servers.
  ShardMapBuilder& assign(base::ShardId shard,
                          const base::ServerId& owner,
                          const std::optional<base::ServerId>& successor);
  // Splits out a key. The index is one above the highest in use, so that a freed index isn't at
  // once another key's.
  base::ShardId addOverride(const base::Key& key,
                            const base::ServerId& owner,
                            const std::optional<base::ServerId>& successor);
  ShardMapBuilder& addOverride(const base::Key& key,
                               base::ShardId shard,
                               const base::ServerId& owner,
                               const std::optional<base::ServerId>& successor);
  ShardMapBuilder& removeOverride(base::ShardId shard);

  // For maps that are read: build() takes these as given, where it would otherwise name the
  // generation that is built.
  ShardMapBuilder& setUnchangedSince(base::ShardId shard, base::Generation unchangedSince);
  ShardMapBuilder& setLastChanged(const base::ServerId& server, base::Generation lastChanged);

  // Compares with the map that the builder started from, so that ShardRow::unchangedSince and
  // MapServer::lastChanged stay where nothing changes. Checks that every shard has an owner and
  // that all names are known.
  ShardMap build() const;

  // True for keys that an override can hold: 1 to 512 bytes of valid UTF-8, because the map is
  // JSON.
  static bool canOverride(const base::Key& key);

private:
  struct Server
  {
    base::ServerId id;
    ServerEntry entry;
    bool removed = false;
    // Generation 0 stands for the one that is built, here and in the rows.
    base::Generation lastChanged{};
    std::vector<base::VmId> votersBefore{};
  };
  // What differs from the map that the builder started from.
  struct Changes
  {
    std::set<base::ShardId> shards;
    std::vector<bool> servers;
  };

  ServerIndex known(const base::ServerId& server) const;
  ShardRow makeRow(const base::ServerId& owner,
                   const std::optional<base::ServerId>& successor) const;
  ShardRow* findRow(base::ShardId shard);
  std::optional<KeyOverride> unitAt(base::ShardId shard) const;
  void touch(base::ShardId shard);
  Changes findChanges() const;
  void noteChange(Changes& changes,
                  base::ShardId shard,
                  const std::optional<KeyOverride>& before,
                  const std::optional<KeyOverride>& after) const;
  void noteHome(Changes& changes, const KeyOverride& hot) const;
  base::Generation sinceOf(base::ShardId shard, const ShardRow& row, const Changes& changes) const;
  std::vector<ServerIndex> sortedOrder(ShardMap& map, const Changes& changes) const;
  ShardRow translate(const ShardRow& row, const std::vector<ServerIndex>& order) const;

  base::ServiceId service_;
  base::Generation generation_;
  std::string writer_;
  std::vector<Server> servers_;
  std::unordered_map<base::ServerId, ServerIndex> index_;
  std::vector<ShardRow> rows_;
  std::map<base::ShardId, KeyOverride> overrides_;
  // The shards and overrides touched, as they were in the map that the builder started from; those
  // of shards have an empty key. Absent overrides are empty.
  std::map<base::ShardId, std::optional<KeyOverride>> before_;
  bool startedFromMap_ = false;
};

} // namespace sycamore::placement
