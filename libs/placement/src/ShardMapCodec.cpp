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

json serverToJson(const ServerEntry& entry)
{
  json voters = json::array();
  for (const base::VmId& voter : entry.voters) {
    voters.push_back(voter.value());
  }
  return { { "address", entry.address },
           { "domain", entry.domain.value() },
           { "voters", std::move(voters) } };
}

ServerEntry serverFromJson(const JsonField& value)
{
  value.requireFields({ "address", "domain", "voters" });
  ServerEntry entry;
  entry.address = value.field("address").text();
  entry.domain = base::DomainId(value.field("domain").text());
  const JsonField voters = value.field("voters");
  voters.requireArray();
  for (std::size_t i = 0; i < voters.value().size(); ++i) {
    entry.voters.emplace_back(voters.element(i).text());
  }
  return entry;
}

// Runs a step of the builder and adds the path to its error.
template<typename Step>
void at(const JsonField& value, Step&& step)
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
  return base::ServerId(value.text());
}

void readServers(ShardMapBuilder& builder, const JsonField& servers)
{
  servers.requireObject();
  for (const auto& [name, value] : servers.value().items()) {
    const JsonField server = servers.field(name);
    at(server, [&] { builder.setServer(base::ServerId(name), serverFromJson(server)); });
  }
}

void readShards(ShardMapBuilder& builder, const JsonField& rows, std::uint32_t shardCount)
{
  rows.requireSize(shardCount);
  for (std::uint32_t i = 0; i < shardCount; ++i) {
    const JsonField row = rows.element(i);
    row.requireSize(3);
    if (row.element(0).number(std::numeric_limits<std::uint32_t>::max()) != i) {
      row.element(0).fail("must be " + std::to_string(i));
    }
    const base::ServerId owner(row.element(1).text());
    const auto successor = successorFromJson(row.element(2));
    at(row, [&] { builder.assign(base::ShardId(i), owner, successor); });
  }
}

void readOverrides(ShardMapBuilder& builder, const JsonField& rows)
{
  rows.requireArray();
  for (std::size_t i = 0; i < rows.value().size(); ++i) {
    const JsonField row = rows.element(i);
    row.requireSize(4);
    const base::Key key(row.element(0).text());
    const auto shard = row.element(1).number(std::numeric_limits<std::uint32_t>::max());
    const base::ServerId owner(row.element(2).text());
    const auto successor = successorFromJson(row.element(3));
    at(row, [&] {
      builder.addOverride(key, base::ShardId(static_cast<std::uint32_t>(shard)), owner, successor);
    });
  }
}

} // namespace

json toJson(const ShardMap& map)
{
  json shards = json::array();
  json overrides = json::array();
  for (std::uint32_t i = 0; i < map.shardCount(); ++i) {
    const ShardRow& row = map.row(base::ShardId(i));
    shards.push_back({ i, map.server(row.owner).id.value(), successorToJson(map, row) });
  }
  for (const KeyOverride& hot : map.overrides()) {
    overrides.push_back({ hot.key.value(),
                          hot.shard.value(),
                          map.server(hot.row.owner).id.value(),
                          successorToJson(map, hot.row) });
  }
  json servers = json::object();
  for (const MapServer& server : map.servers()) {
    servers[server.id.value()] = serverToJson(server.entry);
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
  // The array's length is checked before memory is taken for the shards.
  const JsonField rows = root.field("shards");
  const auto shardCount = static_cast<std::uint32_t>(
    root.field("shard_count").number(std::numeric_limits<std::uint32_t>::max()));
  rows.requireSize(shardCount);
  ShardMapBuilder builder(base::ServiceId(root.field("service").text()), shardCount);
  builder.setGeneration(
    base::Generation(root.field("generation").number(std::numeric_limits<std::uint64_t>::max())));
  builder.setWriter(root.field("writer").text());
  readServers(builder, root.field("servers"));
  readShards(builder, rows, shardCount);
  readOverrides(builder, root.field("overrides"));
  std::optional<ShardMap> map;
  at(root, [&] { map = builder.build(); });
  return std::move(*map);
}

} // namespace sycamore::placement
