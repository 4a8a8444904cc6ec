#include <placement/ShardMapCodec.h>

#include "JsonField.h"
#include <placement/ShardMapBuilder.h>

#include <limits>

namespace sycamore::placement {

namespace {

using nlohmann::json;

json successorToJson(const ShardMap& map, const ShardRow& row)
{
  return row.successor == kNoServer ? json(nullptr) : json(map.server(row.successor).id.value());
}

json serverToJson(const MapServer& server)
{
  const ServerEntry& entry = server.entry;
  json voters = json::array();
  for (const base::VmId& voter : entry.voters) {
    voters.push_back(voter.value());
  }
  return { { "address", entry.address },
           { "domain", entry.domain.value() },
           { "voters", std::move(voters) },
           { "changed", server.lastChanged.value() } };
}

ServerEntry serverFromJson(const JsonField& value)
{
  value.requireFields({ "address", "domain", "voters", "changed" });
  ServerEntry entry;
  entry.address = value.field("address").asString();
  entry.domain = base::DomainId(value.field("domain").asString());
  const JsonField voters = value.field("voters");
  voters.requireArray();
  for (std::size_t i = 0; i < voters.value().size(); ++i) {
    entry.voters.emplace_back(voters.element(i).asString());
  }
  return entry;
}

// Reads the generation of the last change of a part of the map.
base::Generation readChangeGeneration(const JsonField& value, base::Generation generation)
{
  const base::Generation past(value.asUnsigned(generation.value()));
  // The builder treats generation 0 as the one being built.
  if (past == base::Generation() && generation != base::Generation()) {
    value.fail("must be at least 1");
  }
  return past;
}

// Runs a step of the builder and adds the JSON path to its error.
template<typename Step>
void withPath(const JsonField& value, Step&& step)
{
  try {
    step();
  } catch (const ShardMapFormatError&) {
    throw;
  } catch (const PlacementError& error) {
    value.fail(error.what());
  }
}

std::optional<base::ServerId> successorFromJson(const JsonField& value)
{
  if (value.value().is_null()) {
    return std::nullopt;
  }
  return base::ServerId(value.asString());
}

void readServers(ShardMapBuilder& builder, const JsonField& servers, base::Generation generation)
{
  servers.requireObject();
  for (const auto& [name, value] : servers.value().items()) {
    const JsonField server = servers.field(name);
    const base::ServerId id(name);
    withPath(server, [&] { builder.setServer(id, serverFromJson(server)); });
    builder.setLastChanged(id, readChangeGeneration(server.field("changed"), generation));
  }
}

void readShards(ShardMapBuilder& builder,
                const JsonField& rows,
                std::uint32_t shardCount,
                base::Generation generation)
{
  rows.requireSize(shardCount);
  for (std::uint32_t i = 0; i < shardCount; ++i) {
    const JsonField row = rows.element(i);
    row.requireSize(4);
    if (row.element(0).asUnsigned(std::numeric_limits<std::uint32_t>::max()) != i) {
      row.element(0).fail("must be " + std::to_string(i));
    }
    const base::ServerId owner(row.element(1).asString());
    const auto successor = successorFromJson(row.element(2));
    withPath(row, [&] { builder.assign(base::ShardId(i), owner, successor); });
    builder.setUnchangedSince(base::ShardId(i), readChangeGeneration(row.element(3), generation));
  }
}

void readOverrides(ShardMapBuilder& builder, const JsonField& rows, base::Generation generation)
{
  rows.requireArray();
  for (std::size_t i = 0; i < rows.value().size(); ++i) {
    const JsonField row = rows.element(i);
    row.requireSize(5);
    const base::Key key(row.element(0).asString());
    const base::ShardId shard(static_cast<std::uint32_t>(
      row.element(1).asUnsigned(std::numeric_limits<std::uint32_t>::max())));
    const base::ServerId owner(row.element(2).asString());
    const auto successor = successorFromJson(row.element(3));
    withPath(row, [&] { builder.addOverride(key, shard, owner, successor); });
    builder.setUnchangedSince(shard, readChangeGeneration(row.element(4), generation));
  }
}

} // namespace

json toJson(const ShardMap& map)
{
  json shards = json::array();
  json overrides = json::array();
  for (std::uint32_t i = 0; i < map.shardCount(); ++i) {
    const ShardRow& row = map.row(base::ShardId(i));
    shards.push_back({ i,
                       map.server(row.owner).id.value(),
                       successorToJson(map, row),
                       row.unchangedSince.value() });
  }
  for (const KeyOverride& keyOverride : map.overrides()) {
    overrides.push_back({ keyOverride.key.value(),
                          keyOverride.shard.value(),
                          map.server(keyOverride.row.owner).id.value(),
                          successorToJson(map, keyOverride.row),
                          keyOverride.row.unchangedSince.value() });
  }
  json servers = json::object();
  for (const MapServer& server : map.servers()) {
    servers[server.id.value()] = serverToJson(server);
  }
  return { { "service", map.service().value() }, { "generation", map.generation().value() },
           { "writer", map.writer() },           { "shard_count", map.shardCount() },
           { "shards", std::move(shards) },      { "overrides", std::move(overrides) },
           { "servers", std::move(servers) } };
}

ShardMap shardMapFromJson(const json& value)
{
  const JsonField root(value, "");
  root.requireFields(
    { "service", "generation", "writer", "shard_count", "shards", "overrides", "servers" });
  // The length of the array is checked before memory is allocated for the shards.
  const JsonField rows = root.field("shards");
  const auto shardCount = static_cast<std::uint32_t>(
    root.field("shard_count").asUnsigned(std::numeric_limits<std::uint32_t>::max()));
  rows.requireSize(shardCount);
  ShardMapBuilder builder(base::ServiceId(root.field("service").asString()), shardCount);
  const base::Generation generation(
    root.field("generation").asUnsigned(std::numeric_limits<std::uint64_t>::max()));
  builder.setGeneration(generation);
  builder.setWriter(root.field("writer").asString());
  readServers(builder, root.field("servers"), generation);
  readShards(builder, rows, shardCount, generation);
  readOverrides(builder, root.field("overrides"), generation);
  std::optional<ShardMap> map;
  withPath(root, [&] { map = builder.build(); });
  return std::move(*map);
}

} // namespace sycamore::placement
