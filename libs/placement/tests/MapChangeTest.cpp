#include "PlacementFixture.h"

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
using testing::PlacementFixture;

namespace {

constexpr Generation kOld{ 1 };
constexpr Generation kNew{ 2 };

ShardMap originalMap()
{
  return PlacementFixture(4, 16).map;
}

std::optional<ServerId> successorOf(const ShardMap& map, ShardId shard)
{
  const ServerId* successor = map.successor(shard);
  return successor ? std::optional(*successor) : std::nullopt;
}

Generation lastChangedOf(const ShardMap& map, const ServerId& server)
{
  return map.server(map.indexOf(server)).lastChanged;
}

ServerId uninvolvedServer(const ShardMap& map, ShardId shard)
{
  for (const MapServer& server : map.servers()) {
    if (server.id != map.owner(shard) && server.id != successorOf(map, shard)) {
      return server.id;
    }
  }
  return {};
}

// Checks that exactly the given shards and servers have the new generation.
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

// Guards against a generation change that makes voters refuse a lease holder whose row is
// unchanged, or that makes permits lapse.
TEST_CASE("a generation without changes leaves unchangedSince and lastChanged as they are")
{
  ShardMapBuilder builder(originalMap());
  checkOnlyChanged(builder.setGeneration(kNew).build(), {}, {});
}

// Guards against a permit for a shard that its owner has lost, and against rows that seem old
// although they changed.
TEST_CASE("a move sets the generation of its shard, its old owner and its new owner")
{
  const ShardMap before = originalMap();
  const ShardId shard(3);
  const ServerId from = before.owner(shard);
  const ServerId to = uninvolvedServer(before, shard);
  Plan plan;
  plan.moves.push_back({ shard, from, to, from, MoveReason::Balance });
  checkOnlyChanged(applyPlan(before, plan, "test"), { shard }, { from, to });
}

// Guards against a permit that stays valid for a successor that was replaced.
TEST_CASE("a new successor sets the generation of its shard and its owner only")
{
  const ShardMap before = originalMap();
  const ShardId shard(3);
  Plan plan;
  plan.successorChanges.push_back({ shard, uninvolvedServer(before, shard) });
  checkOnlyChanged(applyPlan(before, plan, "test"), { shard }, { before.owner(shard) });
}

// Guards against using a permit for a shard from before a key returned to it from another
// successor, and against an override that inherits the generation of its home shard.
TEST_CASE("a split and a merge set the generation of the override, its home shard and their owner")
{
  const ShardMap before = originalMap();
  const Key key("aisle-9");
  const ShardId home = before.homeShardOf(key);
  const ServerId owner = before.owner(home);
  Plan split;
  split.splits.push_back(key);
  const ShardMap withOverride = applyPlan(before, split, "test");
  const ShardId hot = withOverride.shardOf(key);
  checkOnlyChanged(withOverride, { home, hot }, { owner });

  Plan merge;
  merge.merges.push_back(hot);
  const ShardMap merged = applyPlan(withOverride, merge, "test");
  CHECK(merged.unchangedSince(home) == Generation(3));
  CHECK(lastChangedOf(merged, owner) == Generation(3));
}

// Guards against an override that inherits the generation of another key's override under a reused
// index.
TEST_CASE("an index that is reused for another key counts as new")
{
  const ShardMap start = originalMap();
  const ServerId owner = start.owner(ShardId(0));
  ShardMapBuilder first(start);
  first.addOverride(Key("aisle-9"), ShardId(16), owner, std::nullopt);
  ShardMapBuilder second(first.build());
  second.removeOverride(ShardId(16));
  second.addOverride(Key("aisle-10"), ShardId(16), owner, std::nullopt);
  CHECK(second.setGeneration(kNew).build().unchangedSince(ShardId(16)) == kNew);
}

// Guards against a change of voters that the other voters can't distinguish from an old row.
TEST_CASE("new voters set the generation of their server, a new address does not")
{
  const ShardMap before = originalMap();
  ServerEntry entry = before.servers()[1].entry;
  entry.address = "127.0.0.1:10";
  ShardMapBuilder withNewAddress(before);
  withNewAddress.setServer(before.servers()[1].id, entry);
  checkOnlyChanged(withNewAddress.setGeneration(kNew).build(), {}, {});

  entry.voters = { VmId("vm-7") };
  ShardMapBuilder withNewVoters(before);
  withNewVoters.setServer(before.servers()[1].id, entry);
  checkOnlyChanged(withNewVoters.setGeneration(kNew).build(), {}, { before.servers()[1].id });
}

// Guards against a joining server that sets the generations of all other servers.
TEST_CASE("a server that joins sets only its own generation")
{
  PlacementFixture fixture(4, 16);
  fixture.addServer(4);
  checkOnlyChanged(fixture.map, {}, { PlacementFixture::serverName(4) });
}

// Guards against changes that cancel each other within one build but are still counted.
TEST_CASE("a shard assigned to another owner and back within one build keeps its generation")
{
  const ShardMap before = originalMap();
  const ShardId shard(3);
  ShardMapBuilder builder(before);
  builder.assign(shard, uninvolvedServer(before, shard), std::nullopt);
  builder.assign(shard, before.owner(shard), successorOf(before, shard));
  checkOnlyChanged(builder.setGeneration(kNew).build(), {}, {});
}

// Guards against generations that are lost when the map is sent through the platform or to a peer.
TEST_CASE("unchangedSince and lastChanged survive encoding, decoding and later changes")
{
  PlacementFixture fixture(4, 16);
  fixture.addServer(4);
  const ShardMap read = shardMapFromJson(nlohmann::json::parse(toJson(fixture.map).dump()));
  CHECK(read == fixture.map);
  ShardMapBuilder builder(read);
  checkOnlyChanged(
    builder.setGeneration(Generation(9)).build(), {}, { PlacementFixture::serverName(4) });
}
