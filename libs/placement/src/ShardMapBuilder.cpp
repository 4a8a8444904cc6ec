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
    throw PlacementError("server " + server.value() + " needs one to three distinct voters");
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
  for (const KeyOverride& hot : map.overrides()) {
    overrides_.emplace_hint(overrides_.end(), hot.shard, hot);
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
    throw PlacementError("a server needs a name");
  }
  checkVoters(server, entry.voters);
  const auto [at, added] =
    index_.emplace(server, ServerIndex(static_cast<std::uint32_t>(servers_.size())));
  if (added) {
    servers_.push_back({ server, std::move(entry) });
  } else {
    Server& known = servers_[at->second.value()];
    known.entry = std::move(entry);
    known.removed = false;
  }
  return *this;
}

ShardMapBuilder& ShardMapBuilder::removeServer(const base::ServerId& server)
{
  servers_[known(server).value()].removed = true;
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
  touch(shard);
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
    throw PlacementError("this key can't be split out");
  }
  if (shard.value() < rows_.size()) {
    throw PlacementError("the index " + std::to_string(shard.value()) + " is a shard's");
  }
  if (overrides_.contains(shard)) {
    throw PlacementError("the index " + std::to_string(shard.value()) + " is taken");
  }
  ShardRow row = makeRow(owner, successor);
  touch(shard);
  if (const auto before = before_.find(shard); before != before_.end() && before->second) {
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
  touch(shard);
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
  servers_[known(server).value()].lastChanged = lastChanged;
  return *this;
}

ShardMap ShardMapBuilder::build() const
{
  ShardMap map;
  map.service_ = service_;
  map.generation_ = generation_;
  map.writer_ = writer_;
  const Changes changes = findChanges();
  const std::vector<ServerIndex> order = sortedOrder(map, changes);
  map.rows_.reserve(rows_.size());
  for (std::uint32_t i = 0; i < rows_.size(); ++i) {
    map.rows_.push_back(translate(rows_[i], order));
    map.rows_.back().unchangedSince = sinceOf(base::ShardId(i), rows_[i], changes);
  }
  std::set<std::string_view> keys;
  for (const auto& [shard, hot] : overrides_) {
    if (!keys.insert(hot.key.value()).second) {
      throw PlacementError("the key of override " + std::to_string(shard.value()) +
                           " is split out twice");
    }
    map.overrides_.push_back({ hot.key, shard, translate(hot.row, order) });
    map.overrides_.back().row.unchangedSince = sinceOf(shard, hot.row, changes);
  }
  map.buildIndexes();
  return map;
}

bool ShardMapBuilder::canOverride(const base::Key& key)
{
  return !key.value().empty() && key.value().size() <= kMaxKeyBytes && isUtf8(key.value());
}

ServerIndex ShardMapBuilder::known(const base::ServerId& server) const
{
  const auto at = index_.find(server);
  if (at == index_.end() || servers_[at->second.value()].removed) {
    throw PlacementError("unknown server " + server.value());
  }
  return at->second;
}

ShardRow ShardMapBuilder::makeRow(const base::ServerId& owner,
                                  const std::optional<base::ServerId>& successor) const
{
  if (successor && *successor == owner) {
    throw PlacementError("server " + owner.value() + " can't succeed itself");
  }
  return { known(owner), successor ? known(*successor) : kNoServer };
}

ShardRow* ShardMapBuilder::findRow(base::ShardId shard)
{
  if (shard.value() < rows_.size()) {
    return &rows_[shard.value()];
  }
  const auto at = overrides_.find(shard);
  return at == overrides_.end() ? nullptr : &at->second.row;
}

std::optional<KeyOverride> ShardMapBuilder::unitAt(base::ShardId shard) const
{
  if (shard.value() < rows_.size()) {
    return KeyOverride{ base::Key(), shard, rows_[shard.value()] };
  }
  const auto at = overrides_.find(shard);
  return at == overrides_.end() ? std::nullopt : std::optional(at->second);
}

void ShardMapBuilder::touch(base::ShardId shard)
{
  if (startedFromMap_ && !before_.contains(shard)) {
    before_.emplace(shard, unitAt(shard));
  }
}

ShardMapBuilder::Changes ShardMapBuilder::findChanges() const
{
  Changes changes;
  changes.servers.resize(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    changes.servers[i] = startedFromMap_ && servers_[i].entry.voters != servers_[i].votersBefore;
  }
  for (const auto& [shard, before] : before_) {
    const auto after = unitAt(shard);
    if (before != after) {
      noteChange(changes, shard, before, after);
    }
  }
  return changes;
}

void ShardMapBuilder::noteChange(Changes& changes,
                                 base::ShardId shard,
                                 const std::optional<KeyOverride>& before,
                                 const std::optional<KeyOverride>& after) const
{
  changes.shards.insert(shard);
  for (const auto& unit : { before, after }) {
    if (unit) {
      changes.servers[unit->row.owner.value()] = true;
    }
  }
  const bool sameKey = before && after && before->key == after->key;
  for (const auto& unit : { before, after }) {
    if (unit && !sameKey) {
      noteHome(changes, *unit);
    }
  }
}

// A split or merge changes the keys of the home shard. A permit for the shard from before a merge
// doesn't cover the key that came back, because the override may have had another successor.
void ShardMapBuilder::noteHome(Changes& changes, const KeyOverride& hot) const
{
  const base::ShardId home = base::shardOfKey(hot.key, static_cast<std::uint32_t>(rows_.size()));
  changes.shards.insert(home);
  changes.servers[rows_[home.value()].owner.value()] = true;
}

base::Generation ShardMapBuilder::sinceOf(base::ShardId shard,
                                          const ShardRow& row,
                                          const Changes& changes) const
{
  const bool isNew = row.unchangedSince == base::Generation() || changes.shards.contains(shard);
  return isNew ? generation_ : row.unchangedSince;
}

// Fills the servers of the map and returns the new position of each server, kNoServer for removed
// ones.
std::vector<ServerIndex> ShardMapBuilder::sortedOrder(ShardMap& map, const Changes& changes) const
{
  std::vector<std::uint32_t> kept;
  for (std::uint32_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].removed) {
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

ShardRow ShardMapBuilder::translate(const ShardRow& row,
                                    const std::vector<ServerIndex>& order) const
{
  if (row.owner == kNoServer) {
    throw PlacementError("a shard has no owner");
  }
  const ServerIndex owner = order[row.owner.value()];
  const bool hasSuccessor = row.successor != kNoServer;
  const ServerIndex successor = hasSuccessor ? order[row.successor.value()] : kNoServer;
  if (owner == kNoServer || (hasSuccessor && successor == kNoServer)) {
    throw PlacementError("a removed server still owns or succeeds a shard");
  }
  return { owner, successor, row.unchangedSince };
}

} // namespace sycamore::placement
