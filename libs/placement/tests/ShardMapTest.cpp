#include "PlacementFixture.h"

#include <base/KeyHash.h>
#include <placement/PlacementError.h>
#include <placement/ShardMapBuilder.h>
#include <placement/ShardMapCodec.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sycamore::placement;
using sycamore::base::Key;
using sycamore::base::ServerId;
using sycamore::base::ShardId;
using testing::PlacementFixture;

namespace {

ShardMap sample()
{
  ShardMapBuilder builder(PlacementFixture(4, 16).map);
  builder.addOverride(
    Key("hot/~ key \"1\""), PlacementFixture::serverName(1), PlacementFixture::serverName(2));
  builder.addOverride(Key("caña"), ShardId(40), PlacementFixture::serverName(0), std::nullopt);
  return builder.build();
}

std::string failingPath(const nlohmann::json& value)
{
  try {
    shardMapFromJson(value);
  } catch (const ShardMapFormatError& error) {
    return error.path();
  }
  return "no error";
}

std::string pathAfter(const char* pointer, nlohmann::json value)
{
  nlohmann::json changed = toJson(sample());
  changed[nlohmann::json::json_pointer(pointer)] = std::move(value);
  return failingPath(changed);
}

} // namespace

// Guards against a map that changes when it is sent through the object API or to a peer.
TEST_CASE("a shard map is unchanged after encoding and decoding")
{
  const ShardMap map = sample();
  const std::string text = toJson(map).dump();
  const ShardMap read = shardMapFromJson(nlohmann::json::parse(text));
  CHECK(read == map);
  CHECK(toJson(read).dump() == text);
}

// Guards against adopting a malformed map, and against errors that do not say where the fault is.
TEST_CASE("a malformed shard map is refused with the path of the fault")
{
  CHECK(pathAfter("/shards/3/1", "layout-77") == "/shards/3");
  CHECK(pathAfter("/shards/3/2", "layout-77") == "/shards/3");
  CHECK(pathAfter("/shards/3/1", nullptr) == "/shards/3/1");
  CHECK(pathAfter("/shards/3/0", 16) == "/shards/3/0");
  CHECK(pathAfter("/shards/3/0", -1) == "/shards/3/0");
  CHECK(pathAfter("/shard_count", 17) == "/shards");
  CHECK(pathAfter("/shard_count", 4000000000U) == "/shards");
  CHECK(pathAfter("/shard_count", 16.5) == "/shard_count");
  CHECK(pathAfter("/overrides/0/1", 3) == "/overrides/0");
  CHECK(pathAfter("/overrides/1/1", 16) == "/overrides/1");
  CHECK(pathAfter("/overrides/0/0", "") == "/overrides/0");
  CHECK(pathAfter("/servers/layout-1/voters", nlohmann::json::array()) == "/servers/layout-1");
  CHECK(pathAfter("/servers/layout-1/port", 1) == "/servers/layout-1/port");
  CHECK(pathAfter("/servers/layout-1", 1) == "/servers/layout-1");
  CHECK(pathAfter("/shards/3/3", 2) == "/shards/3/3");
  CHECK(pathAfter("/shards/3/3", 0) == "/shards/3/3");
  CHECK(pathAfter("/shards/3/3", nullptr) == "/shards/3/3");
  CHECK(pathAfter("/shards/3", nlohmann::json::array({ 3, "layout-1", nullptr })) == "/shards/3");
  CHECK(pathAfter("/overrides/0/4", 2) == "/overrides/0/4");
  CHECK(pathAfter("/servers/layout-1/changed", 2) == "/servers/layout-1/changed");
  CHECK(pathAfter("/servers/layout-1/changed", 0) == "/servers/layout-1/changed");
  CHECK(pathAfter("/extra", 1) == "/extra");
  CHECK(pathAfter("/generation", "7") == "/generation");
  CHECK(pathAfter("/writer", 7) == "/writer");
  nlohmann::json lacking = toJson(sample());
  lacking.erase("overrides");
  CHECK(failingPath(lacking) == "");
  CHECK(failingPath(nlohmann::json::array()) == "");
}

// Guards against a key with two overrides, and so two owners.
TEST_CASE("a map with two overrides of a key is refused")
{
  CHECK(pathAfter("/overrides/1/0", "hot/~ key \"1\"") == "");
}

// Guards against a hot key that is still routed by its hash, and against other keys that are not.
TEST_CASE("a key is routed to its override if it has one, else to the shard of its hash")
{
  const ShardMap map = sample();
  CHECK(map.shardOf(Key("caña")) == ShardId(40));
  CHECK(map.ownerOfKey(Key("caña")).id == PlacementFixture::serverName(0));
  for (int i = 0; i < 1000; ++i) {
    const Key key("store-" + std::to_string(i));
    CHECK(map.shardOf(key) == sycamore::base::shardOfKey(key, 16));
  }
}

// Guards against a grant that lists shards of another server or omits some.
TEST_CASE("the lists of shards by server contain every shard once, under its owner")
{
  const ShardMap map = sample();
  std::size_t listed = 0;
  for (const MapServer& server : map.servers()) {
    for (const ShardId shard : map.shardsOf(server.id)) {
      CHECK(map.owner(shard) == server.id);
      ++listed;
    }
  }
  CHECK(listed == map.rowCount());
  CHECK(map.shardsOf(ServerId("unknown")).empty());
}

// Guards against a map that names an unknown owner or no owner.
TEST_CASE("the builder refuses unknown servers, self-succession and shards without owner")
{
  ShardMapBuilder builder(sample());
  const auto known = PlacementFixture::serverName(0);
  CHECK_THROWS_AS(builder.assign(ShardId(0), ServerId("x"), known), PlacementError);
  CHECK_THROWS_AS(builder.assign(ShardId(0), known, known), PlacementError);
  CHECK_THROWS_AS(builder.assign(ShardId(99), known, std::nullopt), PlacementError);
  CHECK_THROWS_AS(builder.removeServer(known).build(), PlacementError);
  CHECK_THROWS_AS(ShardMapBuilder(sycamore::base::ServiceId("s"), 1).build(), PlacementError);
  CHECK_THROWS_AS(builder.addOverride(Key("\xff"), PlacementFixture::serverName(1), {}),
                  PlacementError);
}
