#include <placement/ShardMapBuilder.h>

#include "Utf8.h"
#include <base/KeyHash.h>
#include <placement/PlacementError.h>

#include <algorithm>
#include <set>

namespace sycamore::placement {

namespace {

constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxVoters = 3;

void checkVoters(const base::ServerId& server, const std::vector<base::VmId>& voters)
{
  const std::set<base::VmId> distinct(voters.begin(), voters.end());
  if (voters.empty() || voters.size() > kMaxVoters || distinct.size() != voters.size()) {
    throw PlacementError("server " + server.value() + " must have one to three distinct voters");
  }
}

} // namespace

ShardMapBuilder::ShardMapBuilder(base::ServiceId service, std::uint32_t shardCount)
  : service_(std::move(service))
  , rows_(shardCount)
{
}

ShardMapBuilder::ShardMapBuilder(const ShardMap& map)
  : service_(map.service())
  , generation_(map.generation())
  , writer_(map.writer())
  , rows_(map.rows_)
  , startedFromMap_(true)
{
  for (const MapServer& server : map.servers()) {
    index_.emplace(server.id, ServerIndex(static_cast<std::uint32_t>(servers_.size())));
    servers_.push_back({ server.id, server.entry, false, server.lastChanged, server.entry.voters });
  }
  for (const KeyOverride& keyOverride : map.overrides()) {
    overrides_.emplace_hint(overrides_.end(), keyOverride.shard, keyOverride);
  }
}

ShardMapBuilder& ShardMapBuilder::setGeneration(base::Generation generation)
{
  generation_ = generation;
  return *this;
}

ShardMapBuilder& ShardMapBuilder::setWriter(std::string writer)
{
  writer_ = std::move(writer);
  return *this;
}

ShardMapBuilder& ShardMapBuilder::setServer(const base::ServerId& server, ServerEntry entry)
{
  if (server.value().empty()) {
    throw PlacementError("the id of a server must not be empty");
  }
  checkVoters(server, entry.voters);
  const auto [found, added] =
    index_.emplace(server, ServerIndex(static_cast<std::uint32_t>(servers_.size())));
  if (added) {
    servers_.push_back({ server, std::move(entry) });
  } else {
    Server& known = servers_[found->second.value()];
    known.entry = std::move(entry);
    known.isRemoved = false;
  }
  return *this;
}

ShardMapBuilder& ShardMapBuilder::removeServer(const base::ServerId& server)
{
  servers_[requireServer(server).value()].isRemoved = true;
  return *this;
}

ShardMapBuilder& ShardMapBuilder::assign(base::ShardId shard,
                                         const base::ServerId& owner,
                                         const std::optional<base::ServerId>& successor)
{
  const ShardRow assigned = makeRow(owner, successor);
  ShardRow* row = findRow(shard);
  if (!row) {
    throw PlacementError("no shard " + std::to_string(shard.value()));
  }
  saveOriginal(shard);
  row->owner = assigned.owner;
  row->successor = assigned.successor;
  return *this;
}

base::ShardId ShardMapBuilder::addOverride(const base::Key& key,
                                           const base::ServerId& owner,
                                           const std::optional<base::ServerId>& successor)
{
  const base::ShardId shard(overrides_.empty() ? static_cast<std::uint32_t>(rows_.size())
                                               : overrides_.rbegin()->first.value() + 1);
  addOverride(key, shard, owner, successor);
  return shard;
}

ShardMapBuilder& ShardMapBuilder::addOverride(const base::Key& key,
                                              base::ShardId shard,
                                              const base::ServerId& owner,
                                              const std::optional<base::ServerId>& successor)
{
  if (!canOverride(key) || rows_.empty()) {
    throw PlacementError("the key can't be split out: it must be 1 to 512 bytes of valid UTF-8, "
                         "and the service must be sharded by key");
  }
  if (shard.value() < rows_.size()) {
    throw PlacementError("override index " + std::to_string(shard.value()) +
                         " is the index of a shard");
  }
  if (overrides_.contains(shard)) {
    throw PlacementError("override index " + std::to_string(shard.value()) + " is already in use");
  }
  ShardRow row = makeRow(owner, successor);
  saveOriginal(shard);
  if (const auto before = originals_.find(shard); before != originals_.end() && before->second) {
    row.unchangedSince = before->second->row.unchangedSince;
  }
  overrides_.emplace(shard, KeyOverride{ key, shard, row });
  return *this;
}

ShardMapBuilder& ShardMapBuilder::removeOverride(base::ShardId shard)
{
  if (!overrides_.contains(shard)) {
    throw PlacementError("no override " + std::to_string(shard.value()));
  }
  saveOriginal(shard);
  overrides_.erase(shard);
  return *this;
}

ShardMapBuilder& ShardMapBuilder::setUnchangedSince(base::ShardId shard,
                                                    base::Generation unchangedSince)
{
  ShardRow* row = findRow(shard);
  if (!row) {
    throw PlacementError("no shard " + std::to_string(shard.value()));
  }
  row->unchangedSince = unchangedSince;
  return *this;
}

ShardMapBuilder& ShardMapBuilder::setLastChanged(const base::ServerId& server,
                                                 base::Generation lastChanged)
{
  servers_[requireServer(server).value()].lastChanged = lastChanged;
  return *this;
}

ShardMap ShardMapBuilder::build() const
{
  ShardMap map;
  map.service_ = service_;
  map.generation_ = generation_;
  map.writer_ = writer_;
  const Changes changes = findChanges();
  const std::vector<ServerIndex> order = addSortedServers(map, changes);
  map.rows_.reserve(rows_.size());
  for (std::uint32_t i = 0; i < rows_.size(); ++i) {
    map.rows_.push_back(remapRow(rows_[i], order));
    map.rows_.back().unchangedSince = unchangedSinceOf(base::ShardId(i), rows_[i], changes);
  }
  std::set<std::string_view> keys;
  for (const auto& [shard, keyOverride] : overrides_) {
    if (!keys.insert(keyOverride.key.value()).second) {
      throw PlacementError("the key of override " + std::to_string(shard.value()) +
                           " has another override");
    }
    map.overrides_.push_back({ keyOverride.key, shard, remapRow(keyOverride.row, order) });
    map.overrides_.back().row.unchangedSince = unchangedSinceOf(shard, keyOverride.row, changes);
  }
  map.buildIndexes();
  return map;
}

bool ShardMapBuilder::canOverride(const base::Key& key)
{
  return !key.value().empty() && key.value().size() <= kMaxKeyBytes && isUtf8(key.value());
}

ServerIndex ShardMapBuilder::requireServer(const base::ServerId& server) const
{
  const auto found = index_.find(server);
  if (found == index_.end() || servers_[found->second.value()].isRemoved) {
    throw PlacementError("unknown server " + server.value());
  }
  return found->second;
}

ShardRow ShardMapBuilder::makeRow(const base::ServerId& owner,
                                  const std::optional<base::ServerId>& successor) const
{
  if (successor && *successor == owner) {
    throw PlacementError("server " + owner.value() +
                         " can't be both owner and successor of a shard");
  }
  return { requireServer(owner), successor ? requireServer(*successor) : kNoServer };
}

ShardRow* ShardMapBuilder::findRow(base::ShardId shard)
{
  if (shard.value() < rows_.size()) {
    return &rows_[shard.value()];
  }
  const auto found = overrides_.find(shard);
  return found == overrides_.end() ? nullptr : &found->second.row;
}

std::optional<KeyOverride> ShardMapBuilder::snapshotOf(base::ShardId shard) const
{
  if (shard.value() < rows_.size()) {
    return KeyOverride{ base::Key(), shard, rows_[shard.value()] };
  }
  const auto found = overrides_.find(shard);
  return found == overrides_.end() ? std::nullopt : std::optional(found->second);
}

void ShardMapBuilder::saveOriginal(base::ShardId shard)
{
  if (startedFromMap_ && !originals_.contains(shard)) {
    originals_.emplace(shard, snapshotOf(shard));
  }
}

ShardMapBuilder::Changes ShardMapBuilder::findChanges() const
{
  Changes changes;
  changes.servers.resize(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    changes.servers[i] = startedFromMap_ && servers_[i].entry.voters != servers_[i].originalVoters;
  }
  for (const auto& [shard, before] : originals_) {
    const auto after = snapshotOf(shard);
    if (before != after) {
      addChange(changes, shard, before, after);
    }
  }
  return changes;
}

void ShardMapBuilder::addChange(Changes& changes,
                                base::ShardId shard,
                                const std::optional<KeyOverride>& before,
                                const std::optional<KeyOverride>& after) const
{
  changes.shards.insert(shard);
  for (const auto& snapshot : { before, after }) {
    if (snapshot) {
      changes.servers[snapshot->row.owner.value()] = true;
    }
  }
  const bool sameKey = before && after && before->key == after->key;
  for (const auto& snapshot : { before, after }) {
    if (snapshot && !sameKey) {
      addHomeShardChange(changes, *snapshot);
    }
  }
}

// A split or merge changes the set of keys of the home shard. A permit for the home shard from
// before a merge does not cover the returned key, because the override may have had another
// successor.
void ShardMapBuilder::addHomeShardChange(Changes& changes, const KeyOverride& keyOverride) const
{
  const base::ShardId home =
    base::shardOfKey(keyOverride.key, static_cast<std::uint32_t>(rows_.size()));
  changes.shards.insert(home);
  changes.servers[rows_[home.value()].owner.value()] = true;
}

base::Generation ShardMapBuilder::unchangedSinceOf(base::ShardId shard,
                                                   const ShardRow& row,
                                                   const Changes& changes) const
{
  const bool isNew = row.unchangedSince == base::Generation() || changes.shards.contains(shard);
  return isNew ? generation_ : row.unchangedSince;
}

// Adds the servers to the map, sorted by id, and returns the new position of each server, kNoServer
// for removed ones.
std::vector<ServerIndex> ShardMapBuilder::addSortedServers(ShardMap& map,
                                                           const Changes& changes) const
{
  std::vector<std::uint32_t> kept;
  for (std::uint32_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].isRemoved) {
      kept.push_back(i);
    }
  }
  std::ranges::sort(
    kept, {}, [&](std::uint32_t i) -> const base::ServerId& { return servers_[i].id; });
  std::vector<ServerIndex> order(servers_.size(), kNoServer);
  map.servers_.reserve(kept.size());
  for (const std::uint32_t i : kept) {
    order[i] = ServerIndex(static_cast<std::uint32_t>(map.servers_.size()));
    const bool isNew = changes.servers[i] || servers_[i].lastChanged == base::Generation();
    map.servers_.push_back(
      { servers_[i].id, servers_[i].entry, isNew ? generation_ : servers_[i].lastChanged });
  }
  return order;
}

ShardRow ShardMapBuilder::remapRow(const ShardRow& row, const std::vector<ServerIndex>& order) const
{
  if (row.owner == kNoServer) {
    throw PlacementError("a shard has no owner");
  }
  const ServerIndex owner = order[row.owner.value()];
  const bool hasSuccessor = row.successor != kNoServer;
  const ServerIndex successor = hasSuccessor ? order[row.successor.value()] : kNoServer;
  if (owner == kNoServer || (hasSuccessor && successor == kNoServer)) {
    throw PlacementError("a removed server is still the owner or successor of a shard");
  }
  return { owner, successor, row.unchangedSince };
}

} // namespace sycamore::placement
