#include <base/KeyHash.h>
#include <doctest/doctest.h>

using namespace sycamore::base;

// Guards against a change of the hash function, with which every shard map would name wrong owners.
TEST_CASE("the hash of a key is the published XXH3 value")
{
  CHECK(hashBytes("") == 0x2d06800538d394c2ULL);
}

// Guards against a shard index out of range.
TEST_CASE("the shard of a key is below the shard count")
{
  for (int i = 0; i < 1000; ++i) {
    CHECK(shardOfKey(Key("store-" + std::to_string(i)), 7).value() < 7);
  }
}
