#include <doctest/doctest.h>
#include <ownership/OwnershipError.h>
#include <ownership/ShardSet.h>
#include <rapidcheck.h>

#include <limits>
#include <set>

using namespace sycamore;
using ownership::ShardSet;

namespace {

ShardSet fromStd(const std::set<std::uint32_t>& shards)
{
  ShardSet result;
  for (const std::uint32_t shard : shards) {
    result.insert(base::ShardId(shard));
  }
  return result;
}

std::set<std::uint32_t> smallSet()
{
  const auto items =
    *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 40));
  return { items.begin(), items.end() };
}

} // namespace

// Guards against ranges that are merged or split wrongly, so that a grant names other shards than
// the map.
TEST_CASE("insert, erase and intersect give the same result as on a std::set")
{
  CHECK(rc::check([] {
    const std::set<std::uint32_t> a = smallSet();
    const std::set<std::uint32_t> b = smallSet();
    ShardSet sum = fromStd(a);
    sum.insert(fromStd(b));
    ShardSet difference = fromStd(a);
    difference.erase(fromStd(b));
    ShardSet common = fromStd(a);
    common.intersect(fromStd(b));
    for (std::uint32_t shard = 0; shard < 42; ++shard) {
      const base::ShardId id(shard);
      RC_ASSERT(sum.contains(id) == (a.contains(shard) || b.contains(shard)));
      RC_ASSERT(difference.contains(id) == (a.contains(shard) && !b.contains(shard)));
      RC_ASSERT(common.contains(id) == (a.contains(shard) && b.contains(shard)));
    }
    RC_ASSERT(fromStd(a).size() == a.size());
    RC_ASSERT(ShardSet::parse(sum.text()) == sum);
    RC_ASSERT(sum.containsAll(common));
    RC_ASSERT((fromStd(a).digest() == fromStd(b).digest()) == (a == b));
  }));
}

// Guards against an index that wraps around at the end of its type's range.
TEST_CASE("the largest shard index neither wraps nor merges with the smallest")
{
  const std::uint32_t last = std::numeric_limits<std::uint32_t>::max();
  ShardSet set;
  set.insert(base::ShardId(last));
  set.insert(base::ShardId(0));
  set.insert(base::ShardId(last - 1));
  CHECK(set.text() == "0,4294967294-4294967295");
  set.erase(ShardSet::range(base::ShardId(last), base::ShardId(last)));
  CHECK(set.text() == "0,4294967294");
}

// Guards against a malformed text that is parsed as another set.
TEST_CASE("malformed text of a shard set is refused")
{
  for (const char* text : { "1-", "-1", "a", "1,,2", "5-3", "1,", "4294967296", " 1" }) {
    CHECK_THROWS_AS(ShardSet::parse(text), ownership::OwnershipError);
  }
}
