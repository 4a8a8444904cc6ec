#include <placement/ShardMap.h>

#include <base/KeyHash.h>
#include <placement/PlacementError.h>

#include <algorithm>

namespace sycamore::placement {

std::uint64_t ShardMap::checkedHash(const base::Key& key) const
{
  if (rows_.empty()) {
    throw PlacementError("service " + service_.value() + " is not sharded by key");
  }
  return base::hashBytes(key.value());
}

base::ShardId ShardMap::shardOf(const base::Key& key) const
{
  const std::uint64_t hash = checkedHash(key);
  if (const auto position = overrideTable_.find(hash, key.value(), overrides_)) {
    return overrides_[*position].shard;
  }
  // Equal to base::shardOfKey, without hashing the key a second time.
  return base::ShardId(static_cast<std::uint32_t>(hash % rows_.size()));
}

base::ShardId ShardMap::homeShardOf(const base::Key& key) const
{
  return base::ShardId(static_cast<std::uint32_t>(checkedHash(key) % rows_.size()));
}

bool ShardMap::contains(base::ShardId shard) const
{
  return findRow(shard) != nullptr;
}

const ShardRow& ShardMap::row(base::ShardId shard) const
{
  const ShardRow* found = findRow(shard);
  if (!found) {
    throw PlacementError("no shard " + std::to_string(shard.value()) + " in the map of " +
                         service_.value());
  }
  return *found;
}

const base::ServerId& ShardMap::owner(base::ShardId shard) const
{
  return servers_[row(shard).owner.value()].id;
}

const base::ServerId* ShardMap::successor(base::ShardId shard) const
{
  const ServerIndex index = row(shard).successor;
  return index == kNoServer ? nullptr : &servers_[index.value()].id;
}

const MapServer& ShardMap::ownerOfKey(const base::Key& key) const
{
  return servers_[row(shardOf(key)).owner.value()];
}

ServerIndex ShardMap::indexOf(const base::ServerId& server) const
{
  const auto found = std::ranges::lower_bound(servers_, server, {}, &MapServer::id);
  if (found == servers_.end() || found->id != server) {
    return kNoServer;
  }
  return ServerIndex(static_cast<std::uint32_t>(found - servers_.begin()));
}

const ServerEntry* ShardMap::find(const base::ServerId& server) const
{
  const ServerIndex index = indexOf(server);
  return index == kNoServer ? nullptr : &servers_[index.value()].entry;
}

std::span<const base::ShardId> ShardMap::shardsOf(const base::ServerId& server) const
{
  return shardsOf(indexOf(server));
}

std::span<const base::ShardId> ShardMap::shardsOf(ServerIndex server) const
{
  if (server.value() >= servers_.size()) {
    return {};
  }
  const std::uint32_t start = ownedStart_[server.value()];
  return std::span(owned_).subspan(start, ownedStart_[server.value() + 1] - start);
}

const KeyOverride* ShardMap::overrideAt(base::ShardId shard) const
{
  const auto found = std::ranges::lower_bound(overrides_, shard, {}, &KeyOverride::shard);
  return found == overrides_.end() || found->shard != shard ? nullptr : &*found;
}

const KeyOverride* ShardMap::overrideOf(const base::Key& key) const
{
  const auto position = overrideTable_.find(base::hashBytes(key.value()), key.value(), overrides_);
  return position ? &overrides_[*position] : nullptr;
}

const ShardRow* ShardMap::findRow(base::ShardId shard) const
{
  if (shard.value() < rows_.size()) {
    return &rows_[shard.value()];
  }
  const KeyOverride* keyOverride = overrideAt(shard);
  return keyOverride ? &keyOverride->row : nullptr;
}

void ShardMap::buildIndexes()
{
  overrideTable_ = OverrideTable(overrides_);
  ownedStart_.assign(servers_.size() + 1, 0);
  forEachShard([&](base::ShardId, const ShardRow& row) { ++ownedStart_[row.owner.value() + 1]; });
  for (std::size_t i = 1; i < ownedStart_.size(); ++i) {
    ownedStart_[i] += ownedStart_[i - 1];
  }
  owned_.resize(rowCount());
  std::vector<std::uint32_t> next = ownedStart_;
  forEachShard(
    [&](base::ShardId shard, const ShardRow& row) { owned_[next[row.owner.value()]++] = shard; });
}

bool operator==(const ShardMap& a, const ShardMap& b)
{
  return a.service_ == b.service_ && a.generation_ == b.generation_ && a.writer_ == b.writer_ &&
         a.servers_ == b.servers_ && a.rows_ == b.rows_ && a.overrides_ == b.overrides_;
}

} // namespace sycamore::placement
