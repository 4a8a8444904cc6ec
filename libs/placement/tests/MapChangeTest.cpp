#include "World.h"

#include <placement/ShardMapBuilder.h>
#include <placement/ShardMapCodec.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sycamore::placement;
using sycamore::base::Generation;
using sycamore::base::Key;
using sycamore::base::ServerId;
using sycamore::base::ShardId;
using sycamore::base::VmId;
using testing::World;

namespace {

constexpr Generation kOld{ 1 };
constexpr Generation kNew{ 2 };

ShardMap original()
{
  return World(4, 16).map;
}

std::optional<ServerId> successorOf(const ShardMap& map, ShardId shard)
{
  const ServerId* successor = map.successor(shard);
  return successor ? std::optional(*successor) : std::nullopt;
}

Generation changed(const ShardMap& map, const ServerId& server)
{
  return map.server(map.indexOf(server)).lastChanged;
}

ServerId otherThan(const ShardMap& map, ShardId shard)
{
  for (const MapServer& server : map.servers()) {
    if (server.id != map.owner(shard) && server.id != successorOf(map, shard)) {
      return server.id;
    }
  }
  return {};
}

// Checks the generations of all shards and servers but those given.
void checkOnlyChanged(const ShardMap& map,
                      const std::set<ShardId>& shards,
                      const std::set<ServerId>& servers)
{
  map.forEachShard([&](ShardId shard, const ShardRow& row) {
    CHECK(row.unchangedSince == (shards.contains(shard) ? kNew : kOld));
  });
  for (const MapServer& server : map.servers()) {
    CHECK(server.lastChanged == (servers.contains(server.id) ? kNew : kOld));
  }
}

} // namespace

// Guards against a bump that makes voters refuse a holder whose row is unchanged, or permits lapse.
TEST_CASE("a generation that changes nothing leaves since and changed")
{
  ShardMapBuilder builder(original());
  checkOnlyChanged(builder.setGeneration(kNew).build(), {}, {});
}

// Guards against a permit for a shard that its owner has lost, and against rows that seem old.
TEST_CASE("a move is noted for its shard, its old owner and its new owner")
{
  const ShardMap before = original();
  const ShardId shard(3);
  const ServerId from = before.owner(shard);
  const ServerId to = otherThan(before, shard);
  Plan plan;
  plan.moves.push_back({ shard, from, to, from, MoveReason::Balance });
  checkOnlyChanged(applyPlan(before, plan, "test"), { shard }, { from, to });
}

// Guards against a permit that goes on counting for a successor that was replaced.
TEST_CASE("another successor is noted for its shard and its owner only")
{
  const ShardMap before = original();
  const ShardId shard(3);
  Plan plan;
  plan.successorChanges.push_back({ shard, otherThan(before, shard) });
  checkOnlyChanged(applyPlan(before, plan, "test"), { shard }, { before.owner(shard) });
}

// Guards against a permit for a shard from before a key came back to it from another successor, and
// against an override that takes the age of its shard.
TEST_CASE("a split and a merge are noted for the override, its home shard and their owner")
{
  const ShardMap before = original();
  const Key key("aisle-9");
  const ShardId home = before.homeShardOf(key);
  const ServerId owner = before.owner(home);
  Plan split;
  split.splits.push_back(key);
  const ShardMap whole = applyPlan(before, split, "test");
  const ShardId hot = whole.shardOf(key);
  checkOnlyChanged(whole, { home, hot }, { owner });

  Plan merge;
  merge.merges.push_back(hot);
  const ShardMap merged = applyPlan(whole, merge, "test");
  CHECK(merged.unchangedSince(home) == Generation(3));
  CHECK(changed(merged, owner) == Generation(3));
}

// Guards against an override that takes the age of another key's under a reused index.
TEST_CASE("an index that passes to another key counts as new")
{
  const ShardMap start = original();
  const ServerId owner = start.owner(ShardId(0));
  ShardMapBuilder first(start);
  first.addOverride(Key("aisle-9"), ShardId(16), owner, std::nullopt);
  ShardMapBuilder second(first.build());
  second.removeOverride(ShardId(16));
  second.addOverride(Key("aisle-10"), ShardId(16), owner, std::nullopt);
  CHECK(second.setGeneration(kNew).build().unchangedSince(ShardId(16)) == kNew);
}

// Guards against a change of voters that the other voters can't tell from an old row.
TEST_CASE("new voters are noted for their server, a new address is not")
{
  const ShardMap before = original();
  ServerEntry entry = before.servers()[1].entry;
  entry.address = "127.0.0.1:10";
  ShardMapBuilder moved(before);
  moved.setServer(before.servers()[1].id, entry);
  checkOnlyChanged(moved.setGeneration(kNew).build(), {}, {});

  entry.voters = { VmId("vm-7") };
  ShardMapBuilder revoted(before);
  revoted.setServer(before.servers()[1].id, entry);
  checkOnlyChanged(revoted.setGeneration(kNew).build(), {}, { before.servers()[1].id });
}

// Guards against a newcomer that makes the rows of all other servers new.
TEST_CASE("a server that joins is noted alone")
{
  World world(4, 16);
  world.join(4);
  checkOnlyChanged(world.map, {}, { World::serverName(4) });
}

// Guards against edits within one change that cancel out but still count.
TEST_CASE("a shard assigned away and back within one change keeps its generation")
{
  const ShardMap before = original();
  const ShardId shard(3);
  ShardMapBuilder builder(before);
  builder.assign(shard, otherThan(before, shard), std::nullopt);
  builder.assign(shard, before.owner(shard), successorOf(before, shard));
  checkOnlyChanged(builder.setGeneration(kNew).build(), {}, {});
}

// Guards against generations that are lost on the way through the platform or a peer.
TEST_CASE("since and changed survive a round trip and the changes after it")
{
  World world(4, 16);
  world.join(4);
  const ShardMap read = shardMapFromJson(nlohmann::json::parse(toJson(world.map).dump()));
  CHECK(read == world.map);
  ShardMapBuilder builder(read);
  checkOnlyChanged(builder.setGeneration(Generation(9)).build(), {}, { World::serverName(4) });
}
