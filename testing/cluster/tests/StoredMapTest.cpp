#include <doctest/doctest.h>
#include <test_cluster/StoredMap.h>

using namespace sycamore::test_cluster;
using nlohmann::json;

// Guards against a cluster that counts as settled while a hot key's override still names a lost
// server, so that the next loss leaves that key without a server.
TEST_CASE("an override with a lost server as owner or successor isn't settled")
{
  json map = { { "shards", { { 0, "a", "b", 1 } } }, { "overrides", json::array() } };
  CHECK(describeUnservedShard(map, { "a", "b" }, true).empty());
  map["overrides"] = { { "key", 7, "a", "lost", 1 } };
  CHECK(describeUnservedShard(map, { "a", "b" }, true) ==
        "override \"key\" has the successor \"lost\"");
  CHECK(describeUnservedShard(map, { "a", "b" }, false).empty());
  map["overrides"] = { { "key", 7, "lost", "b", 1 } };
  CHECK(describeUnservedShard(map, { "a", "b" }, false) == "override \"key\" belongs to \"lost\"");
  map["overrides"] = { { "key", 7, "a", nullptr, 1 } };
  CHECK(describeUnservedShard(map, { "a", "b" }, true) ==
        "override \"key\" has the successor null");
}
