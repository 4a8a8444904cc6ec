#include "../src/ServiceShards.h"

#include <placement/ShardMapBuilder.h>

#include <doctest/doctest.h>

using namespace sycamore::control;
using sycamore::base::DomainId;
using sycamore::base::Generation;
using sycamore::base::ServerId;
using sycamore::base::ServiceId;
using sycamore::base::ShardId;
using sycamore::base::VmId;
using sycamore::placement::ServerEntry;
using sycamore::placement::ShardMap;
using sycamore::placement::ShardMapBuilder;

namespace {

const ServerId kFirst("layout-1");
const ServerId kSecond("layout-2");
const ServerId kThird("layout-3");

ShardMap original()
{
  ShardMapBuilder builder(ServiceId("layout"), 4);
  for (const ServerId& server : { kFirst, kSecond, kThird }) {
    builder.setServer(server, { "127.0.0.1:9", DomainId("a"), { VmId("vm-1") } });
  }
  for (std::uint32_t shard = 0; shard < 4; ++shard) {
    builder.assign(ShardId(shard), shard < 2 ? kFirst : kSecond, kThird);
  }
  return builder.setGeneration(Generation(1)).build();
}

ShardMap reassigned(const ShardMap& map,
                    ShardId shard,
                    const ServerId& owner,
                    const ServerId& successor)
{
  ShardMapBuilder builder(map);
  builder.assign(shard, owner, successor);
  return builder.setGeneration(Generation(map.generation().value() + 1)).build();
}

ServiceShards viewOf(const ShardMap& map)
{
  return ServiceShards(std::make_shared<const ShardMap>(map));
}

} // namespace

// Guards against shards of a lost server that stay unserved because an unrelated shard moved after
// the permit was issued.
TEST_CASE("permits stay valid for shards that a newer map doesn't change")
{
  const ShardMap map = reassigned(original(), ShardId(3), kThird, kFirst);
  CHECK(viewOf(map).ownedSince(kFirst, Generation(1)).text() == "0-1");
}

// Guards against two owners: a successor may have become the owner of the shard by a map write and
// may have passed it on, even back to the lost server.
TEST_CASE("a shard that moved away and back counts as owned only since its return")
{
  const ShardMap left = reassigned(original(), ShardId(0), kThird, kFirst);
  const ShardMap back = reassigned(left, ShardId(0), kFirst, kThird);
  CHECK(viewOf(back).ownedSince(kFirst, Generation(2)).text() == "1");
  CHECK(viewOf(back).ownedSince(kFirst, Generation(3)).text() == "0-1");
}

// Guards against a permit that stays valid for a replaced successor.
TEST_CASE("a shard counts as owned only since its successor changed")
{
  const ShardMap map = reassigned(original(), ShardId(0), kFirst, kSecond);
  CHECK(viewOf(map).ownedSince(kFirst, Generation(1)).text() == "1");
}

// Guards against map changes of other servers that make voters request permits and votes again.
TEST_CASE("a server's row generation advances only when its row changes")
{
  const ShardMap map = reassigned(original(), ShardId(3), kThird, kFirst);
  CHECK(rowOf(map, kFirst).generation == Generation(2));
  CHECK(rowOf(map, kFirst).rowGeneration == Generation(1));
  CHECK(rowOf(map, kSecond).rowGeneration == Generation(2));
  CHECK(rowOf(map, kThird).rowGeneration == Generation(2));
}

// Guards against a row of a removed server that looks older than the loss of its last shards.
TEST_CASE("the row of a server that is missing from the map has the newest generation")
{
  const ShardMap map = reassigned(original(), ShardId(3), kThird, kFirst);
  CHECK(rowOf(map, ServerId("layout-9")).rowGeneration == Generation(2));
}
