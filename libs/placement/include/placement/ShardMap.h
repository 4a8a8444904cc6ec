#pragma once

#include <base/Ids.h>
#include <placement/KeyOverride.h>
#include <placement/MapServer.h>
#include <placement/OverrideTable.h>
#include <placement/ShardRow.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sycamore::placement {

// One generation of the assignment of a service's shards to servers. Immutable, so it can be read
// from all threads; share it as std::shared_ptr<const ShardMap>. Created by ShardMapBuilder or
// shardMapFromJson, which guarantee that every shard has an owner, and that owners and successors
// are among the servers.
//
// Services that are not sharded by key have a map with shard count 0, which holds their servers and
// voters.
class ShardMap
{
public:
  const base::ServiceId& service() const { return service_; }
  base::Generation generation() const { return generation_; }
  // Identifies the write that created this generation: VM id and random nonce.
  const std::string& writer() const { return writer_; }

  // Number of shards without the overrides.
  std::uint32_t shardCount() const { return static_cast<std::uint32_t>(rows_.size()); }
  // Number of shards and overrides.
  std::size_t rowCount() const { return rows_.size() + overrides_.size(); }

  // Returns the shard of a key: its override if it has one, else the shard given by its hash. Takes
  // constant time and allocates nothing. Throws PlacementError if the shard count is 0.
  base::ShardId shardOf(const base::Key& key) const;
  // Returns the shard given by the hash of a key, ignoring overrides.
  base::ShardId homeShardOf(const base::Key& key) const;

  // Returns whether the shard or override exists.
  bool contains(base::ShardId shard) const;
  // Returns the owner and successor as positions in servers(). Throws PlacementError for an unknown
  // shard.
  const ShardRow& row(base::ShardId shard) const;
  const base::ServerId& owner(base::ShardId shard) const;
  // Returns null if the shard has no successor.
  const base::ServerId* successor(base::ShardId shard) const;
  // Returns the generation since which the shard has had its owner, its successor and the same
  // overrides split out of it.
  base::Generation unchangedSince(base::ShardId shard) const { return row(shard).unchangedSince; }
  const MapServer& ownerOfKey(const base::Key& key) const;

  // Sorted by id.
  std::span<const MapServer> servers() const { return servers_; }
  const MapServer& server(ServerIndex index) const { return servers_.at(index.value()); }
  // Returns the position of a server, or kNoServer if it is not in the map.
  ServerIndex indexOf(const base::ServerId& server) const;
  // Returns null if the server is not in the map.
  const ServerEntry* find(const base::ServerId& server) const;

  // Returns all shards and overrides that a server owns, ascending. Empty for unknown servers.
  std::span<const base::ShardId> shardsOf(const base::ServerId& server) const;
  std::span<const base::ShardId> shardsOf(ServerIndex server) const;

  // Sorted by shard index.
  std::span<const KeyOverride> overrides() const { return overrides_; }
  // Returns null if the shard is not an override.
  const KeyOverride* overrideAt(base::ShardId shard) const;
  // Returns null if the key has no override.
  const KeyOverride* overrideOf(const base::Key& key) const;

  // Calls visit(ShardId, const ShardRow&) for every shard and override, ascending.
  template<typename Visitor>
  void forEachShard(Visitor&& visit) const
  {
    for (std::uint32_t i = 0; i < rows_.size(); ++i) {
      visit(base::ShardId(i), rows_[i]);
    }
    for (const KeyOverride& keyOverride : overrides_) {
      visit(keyOverride.shard, keyOverride.row);
    }
  }

  friend bool operator==(const ShardMap& a, const ShardMap& b);

private:
  friend class ShardMapBuilder;
  ShardMap() = default;
  void buildIndexes();
  const ShardRow* findRow(base::ShardId shard) const;
  std::uint64_t checkedHash(const base::Key& key) const;

  base::ServiceId service_;
  base::Generation generation_;
  std::string writer_;
  std::vector<MapServer> servers_;
  std::vector<ShardRow> rows_;
  std::vector<KeyOverride> overrides_;
  OverrideTable overrideTable_;
  // Shards of server i are owned_[ownedStart_[i] .. ownedStart_[i + 1]).
  std::vector<std::uint32_t> ownedStart_;
  std::vector<base::ShardId> owned_;
};

} // namespace sycamore::placement
